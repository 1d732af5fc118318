#include <libsoup/soup.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"

ABSL_FLAG(std::string, url, "", "URL of the chat completions path.");
ABSL_FLAG(std::string, token, "", "Bearer token of the Authorization header.");
ABSL_FLAG(int, requests, 2000, "Total number of requests.");
ABSL_FLAG(int, streams, 32, "Number of concurrent requests.");
ABSL_FLAG(int, words, 4, "Number of words that each answer is asked to have.");

namespace {

//! Sends streamed completions with a fixed number of concurrent requests and
//! measures the time to the response headers.
class LoadGenerator {
 public:
  LoadGenerator()
      : session_(soup_session_new_with_options("max-conns",
                                               4096,
                                               "max-conns-per-host",
                                               4096,
                                               nullptr)),
        url_(absl::GetFlag(FLAGS_url)),
        remaining_(absl::GetFlag(FLAGS_requests)) {}

  void Run() {
    const gint64 start_us = g_get_monotonic_time();
    for (int i = 0; i < absl::GetFlag(FLAGS_streams); ++i) {
      SendNext();
    }
    while (open_requests_ > 0) {
      g_main_context_iteration(nullptr, TRUE);
    }
    const double seconds =
        static_cast<double>(g_get_monotonic_time() - start_us) / 1e6;
    std::sort(latencies_us_.begin(), latencies_us_.end());
    const auto percentile = [&](double quantile) {
      return latencies_us_[static_cast<size_t>(
          quantile * static_cast<double>(latencies_us_.size() - 1))];
    };
    std::cout << "ok=" << latencies_us_.size() << " failed=" << failed_requests_
              << " per_second="
              << static_cast<double>(latencies_us_.size()) / seconds
              << " first_p50_us=" << percentile(0.5)
              << " first_p95_us=" << percentile(0.95) << std::endl;
  }

 private:
  struct Call {
    LoadGenerator* generator;
    SoupMessage* message;
    gint64 start_us;
  };

  void SendNext() {
    if (remaining_ == 0) {
      return;
    }
    --remaining_;
    ++open_requests_;
    SoupMessage* message = soup_message_new("POST", url_.c_str());
    soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
    SoupMessageHeaders* headers = soup_message_get_request_headers(message);
    const std::string bearer = "Bearer " + absl::GetFlag(FLAGS_token);
    soup_message_headers_replace(headers, "Authorization", bearer.c_str());
    soup_message_headers_replace(headers, "X-Attempt-Id", "load");
    const std::string body =
        R"({"model":"report-writer","stream":true,"max_tokens":16,)"
        R"("messages":[{"role":"user","content":"load words=)" +
        std::to_string(absl::GetFlag(FLAGS_words)) + " " +
        std::to_string(remaining_ % 64) + R"("}]})";
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
    soup_session_send_async(session_, message, G_PRIORITY_DEFAULT, nullptr,
                            OnResponseHeaders,
                            new Call{this, message, g_get_monotonic_time()});
  }

  static void OnResponseHeaders(GObject* session,
                                GAsyncResult* result,
                                gpointer data) {
    auto* call = static_cast<Call*>(data);
    GInputStream* stream =
        soup_session_send_finish(SOUP_SESSION(session), result, nullptr);
    const bool ok =
        stream != nullptr && soup_message_get_status(call->message) == 200;
    if (!ok) {
      ++call->generator->failed_requests_;
      g_clear_object(&stream);
      call->generator->Finish(call);
      return;
    }
    call->generator->latencies_us_.push_back(g_get_monotonic_time() -
                                             call->start_us);
    ReadBody(stream, call);
  }

  static void ReadBody(GInputStream* stream, Call* call) {
    g_input_stream_read_bytes_async(
        stream, 65536, G_PRIORITY_DEFAULT, nullptr,
        [](GObject* source, GAsyncResult* result, gpointer data) {
          auto* body_call = static_cast<Call*>(data);
          GBytes* bytes = g_input_stream_read_bytes_finish(
              G_INPUT_STREAM(source), result, nullptr);
          const bool more = bytes != nullptr && g_bytes_get_size(bytes) > 0;
          g_bytes_unref(bytes);
          if (more) {
            ReadBody(G_INPUT_STREAM(source), body_call);
            return;
          }
          g_object_unref(source);
          body_call->generator->Finish(body_call);
        },
        call);
  }

  void Finish(Call* call) {
    g_object_unref(call->message);
    delete call;
    --open_requests_;
    SendNext();
  }

  SoupSession* session_;
  std::string url_;
  int remaining_;
  int open_requests_ = 0;
  int failed_requests_ = 0;
  std::vector<gint64> latencies_us_;
};

}  // namespace

//! Sends streamed completions to one URL. Prints the number of successful and
//! failed requests, the rate and percentiles of the time to the response
//! headers.
int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  LoadGenerator().Run();
  return 0;
}
