#include <libsoup/soup.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"

ABSL_FLAG(std::string, url, "", "Completion URL.");
ABSL_FLAG(std::string, token, "", "Bearer token.");
ABSL_FLAG(int, requests, 2000, "Requests in all.");
ABSL_FLAG(int, streams, 32, "Requests open at once.");
ABSL_FLAG(int, words, 4, "Words of each answer.");

namespace {

//! Sends streamed completions and measures the time to the first byte.
class Load {
 public:
  Load()
      : session_(soup_session_new_with_options("max-conns",
                                               4096,
                                               "max-conns-per-host",
                                               4096,
                                               nullptr)),
        url_(absl::GetFlag(FLAGS_url)),
        left_(absl::GetFlag(FLAGS_requests)) {}

  void Run() {
    const gint64 start = g_get_monotonic_time();
    for (int i = 0; i < absl::GetFlag(FLAGS_streams); ++i) {
      Next();
    }
    while (open_ > 0) {
      g_main_context_iteration(nullptr, TRUE);
    }
    const double seconds =
        static_cast<double>(g_get_monotonic_time() - start) / 1e6;
    std::sort(first_.begin(), first_.end());
    const auto at = [&](double part) {
      return first_[static_cast<size_t>(
          part * static_cast<double>(first_.size() - 1))];
    };
    std::cout << "ok=" << first_.size() << " failed=" << failed_
              << " per_second=" << static_cast<double>(first_.size()) / seconds
              << " first_p50_us=" << at(0.5) << " first_p95_us=" << at(0.95)
              << std::endl;
  }

 private:
  struct Call {
    Load* load;
    SoupMessage* message;
    gint64 start;
  };

  void Next() {
    if (left_ == 0) {
      return;
    }
    --left_;
    ++open_;
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
        std::to_string(left_ % 64) + R"("}]})";
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
    soup_session_send_async(session_, message, G_PRIORITY_DEFAULT, nullptr,
                            OnFirst,
                            new Call{this, message, g_get_monotonic_time()});
  }

  static void OnFirst(GObject* session, GAsyncResult* result, gpointer data) {
    auto* call = static_cast<Call*>(data);
    GInputStream* stream =
        soup_session_send_finish(SOUP_SESSION(session), result, nullptr);
    const bool ok =
        stream != nullptr && soup_message_get_status(call->message) == 200;
    if (!ok) {
      ++call->load->failed_;
      g_clear_object(&stream);
      call->load->End(call);
      return;
    }
    call->load->first_.push_back(g_get_monotonic_time() - call->start);
    Read(stream, call);
  }

  static void Read(GInputStream* stream, Call* call) {
    g_input_stream_read_bytes_async(
        stream, 65536, G_PRIORITY_DEFAULT, nullptr,
        [](GObject* source, GAsyncResult* result, gpointer data) {
          auto* it = static_cast<Call*>(data);
          GBytes* bytes = g_input_stream_read_bytes_finish(
              G_INPUT_STREAM(source), result, nullptr);
          const bool more = bytes != nullptr && g_bytes_get_size(bytes) > 0;
          g_bytes_unref(bytes);
          if (more) {
            Read(G_INPUT_STREAM(source), it);
            return;
          }
          g_object_unref(source);
          it->load->End(it);
        },
        call);
  }

  void End(Call* call) {
    g_object_unref(call->message);
    delete call;
    --open_;
    Next();
  }

  SoupSession* session_;
  std::string url_;
  int left_;
  int open_ = 0;
  int failed_ = 0;
  std::vector<gint64> first_;
};

}  // namespace

//! Sends streamed completions to one URL and prints the rate and the time to
//! the first byte.
int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  Load().Run();
  return 0;
}
