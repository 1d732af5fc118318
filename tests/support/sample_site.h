#ifndef TESTS_SUPPORT_SAMPLE_SITE_H_
#define TESTS_SUPPORT_SAMPLE_SITE_H_

#include <cstdint>
#include <string>

namespace tamaracktrail {

//! A configuration as the operator writes it: routes "safe", "fee", "report"
//! (a stream) and "ask" (one that may be resumed), the public route
//! "version-N" that only this version has, and the organisation "cedar" with
//! the key "key-1".
std::string SampleConfig(int64_t version, int64_t prepaid);

//! A caller's request on one of the routes; `more` holds further header lines.
std::string SampleRequest(const std::string& route,
                          const std::string& id,
                          const std::string& more = "");

//! What SampleRequest's streams cost when they are delivered whole, in tokens.
constexpr int64_t kSampleTokens = 1025;

//! The whole body of such a stream.
std::string SampleStream();

//! What the platform asks the health address.
std::string ReadinessRequest();

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_SAMPLE_SITE_H_
