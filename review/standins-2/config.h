#ifndef REVIEW_STANDINS_2_CONFIG_H_
#define REVIEW_STANDINS_2_CONFIG_H_

#include <string>

namespace review {

//! The tenants' names; the key of a tenant is its name with "-key".
inline const char* const kTenants[] = {"cedar", "birch", "alder", "maple"};

//! A configuration with a model service, a plain service and some tenants with
//! the same total; the figures of the routes are those of madrasa-kit.
inline std::string ConfigText(int version, long long prepaid, int tenants = 1) {
  std::string list;
  for (int i = 0; i < tenants; ++i) {
    const std::string name = kTenants[i];
    list += std::string(i == 0 ? "" : ",") + "{\"name\":\"" + name +
            "\",\"api_keys\":[\"" + name + "-key\"],\"priority\":1," +
            "\"prepaid\":" + std::to_string(prepaid) + "}";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[
{"name":"report","host":"school.example","path_prefix":"/report/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":1,"service":"assist-llm","max_attempts":1,"public":false,"session_affinity":true,"stream_resumption":false,"target_gap_ms":300},
{"name":"fee","host":"school.example","path_prefix":"/fee/","kind":"unsafe","timeout_ms":600,"target_latency_ms":100,"priority":2,"service":"school-app","max_attempts":1,"public":false},
{"name":"grade","host":"school.example","path_prefix":"/grade/","kind":"safe","timeout_ms":600,"target_latency_ms":100,"priority":2,"service":"school-app","max_attempts":2,"public":false}],
"services":[
{"name":"assist-llm","health_check_path":"/health","connection_limit":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_cache_tokens":628734,"kv_token_bytes":163840,"link_mbps":180000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"models":[{"name":"m"}]}},
{"name":"school-app","health_check_path":"/health","connection_limit":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[)" +
         list + "]}";
}

//! The head of a request for a stream, without its last fields.
inline std::string ReportHead(const std::string& own_part,
                              int prompt_tokens,
                              int output_tokens,
                              const std::string& tenant = "cedar") {
  const std::string own = std::to_string(prompt_tokens - 500);
  return "POST /report/draft HTTP/1.1\r\nHost: school.example\r\n"
         "Authorization: Bearer " +
         tenant + "-key\r\nX-Model: m\r\nX-Token-Usage: " +
         std::to_string(prompt_tokens) + "," + std::to_string(output_tokens) +
         "\r\nX-Prompt-Prefix: 5c1e07a2:500," + own_part + ":" + own + "\r\n";
}

inline std::string FeeHead() {
  return "POST /fee/pay HTTP/1.1\r\nHost: school.example\r\n"
         "Authorization: Bearer cedar-key\r\n";
}

}  // namespace review

#endif  // REVIEW_STANDINS_2_CONFIG_H_
