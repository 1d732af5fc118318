#ifndef COORDINATION_EVACUATED_DATA_CENTRES_H_
#define COORDINATION_EVACUATED_DATA_CENTRES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "coordination/evacuation_set.h"
#include "coordination/topic_position.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Which data centres may receive no requests because the operator evacuates
//! them.
//!
//! Records of the operator's topic, listings of it and copies of peers are
//! ordered by the position in the topic that they take into account, so an
//! older one changes nothing, whoever sent it. Not thread-safe.
class EvacuatedDataCentres {
 public:
  //! A store that came back from an older copy may lack a request for
  //! evacuation that its writer writes again: an evacuation that is missing
  //! there ends only after this time.
  static constexpr Millis kRestoreDoubt{10000};

  //! Whether the data centre is evacuated.
  bool Contains(const std::string& data_centre) const {
    return known_.data_centres.contains(data_centre) ||
           doubted_until_.contains(data_centre);
  }

  //! A record was read that requests or, with `evacuated` false, withdraws the
  //! evacuation of a data centre. `as_of`: the position after the record.
  void OnRecord(TopicPosition as_of,
                const std::string& data_centre,
                bool evacuated);

  //! The topic was listed completely, or a peer's copy of the set arrived.
  //! Evacuations that `set` lacks are withdrawn. An older set is ignored.
  void OnSet(Millis now, const EvacuationSet& set);

  //! A peer reported the position and the digest of its set.
  void OnReported(Millis now, TopicPosition as_of, uint64_t digest);

  //! Time since a peer is known to have a newer and different set; 0 if none
  //! is.
  Millis Behind(Millis now) const {
    return is_behind_ ? now - behind_since_ : Millis(0);
  }
  bool is_behind() const { return is_behind_; }

  //! Ends evacuations that a restored store has lacked for `kRestoreDoubt`.
  void OnTick(Millis now);

  //! What the store held, to serve to peers: without the evacuations that only
  //! `kRestoreDoubt` keeps.
  const EvacuationSet& known() const { return known_; }
  //! Whether a listing, a record or a peer's copy was applied.
  bool is_known() const { return is_known_; }

  //! All data centres for which `Contains` holds.
  std::set<std::string> All() const;

 private:
  void SetPosition(TopicPosition as_of);

  EvacuationSet known_;
  bool is_known_ = false;
  //! When evacuations end that a restored store lacks, by data centre.
  std::map<std::string, Millis> doubted_until_;
  TopicPosition newest_reported_;
  bool is_behind_ = false;
  Millis behind_since_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_EVACUATED_DATA_CENTRES_H_
