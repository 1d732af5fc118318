#ifndef TESTS_SUPPORT_SAMPLE_CONFIG_H_
#define TESTS_SUPPORT_SAMPLE_CONFIG_H_

#include <cstdint>
#include <string>

namespace tamaracktrail {

//! Configuration in the operator's JSON format: the routes "safe", "fee",
//! "report" (streaming) and "ask" (resumable streaming), the public route
//! "version-N" that exists only in version N, and the organisation "cedar" with
//! the API key "key-1" and `prepaid` tokens.
std::string SampleConfig(int64_t version, int64_t prepaid);

//! A request on one of the routes of SampleConfig. `extra_headers` holds
//! complete header lines.
std::string SampleRequest(const std::string& route,
                          const std::string& id,
                          const std::string& extra_headers = "");

//! Tokens charged for a completely delivered stream of SampleRequest: 1000 of
//! the prompt and 5 events of 5 tokens ("stride").
constexpr int64_t kSampleStreamTokens = 1025;

//! Complete body of the stream that answers a SampleRequest.
std::string SampleStreamBody();

//! The platform's readiness request to the health address.
std::string ReadinessRequest();

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_SAMPLE_CONFIG_H_
