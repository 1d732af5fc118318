#ifndef COORDINATION_ALLOWED_REGIONS_H_
#define COORDINATION_ALLOWED_REGIONS_H_

#include <algorithm>
#include <string>
#include <vector>

namespace tamaracktrail {

//! The regions in which a request may be served: those that its route and its
//! organisation both allow. Thread-safe, as a value.
class AllowedRegions {
 public:
  //! Allows all regions.
  AllowedRegions() = default;

  //! Empty lists allow all regions. Precondition: the lists outlive this
  //! object.
  AllowedRegions(const std::vector<std::string>* route,
                 const std::vector<std::string>* organisation)
      : route_(route), organisation_(organisation) {}

  bool allows_all() const { return IsEmpty(route_) && IsEmpty(organisation_); }

  //! Whether a request may be served in `region`; an empty one stands for a
  //! data centre that is in no region.
  bool Allows(const std::string& region) const {
    return Contains(route_, region) && Contains(organisation_, region);
  }

 private:
  static bool IsEmpty(const std::vector<std::string>* regions) {
    return regions == nullptr || regions->empty();
  }
  static bool Contains(const std::vector<std::string>* regions,
                       const std::string& region) {
    return IsEmpty(regions) ||
           (!region.empty() && std::find(regions->begin(), regions->end(),
                                         region) != regions->end());
  }

  const std::vector<std::string>* route_ = nullptr;
  const std::vector<std::string>* organisation_ = nullptr;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ALLOWED_REGIONS_H_
