#include "support/stand_in_server.h"

#include <libsoup/soup.h>

#include <memory>
#include <utility>

#include <glog/logging.h>

namespace tamaracktrail {

StandInServer::StandInServer() : alive_(std::make_shared<bool>(true)) {}

StandInServer::~StandInServer() {
  *alive_ = false;
  Close();
}

int StandInServer::Listen(int port) {
  server_ = soup_server_new(nullptr, nullptr);
  soup_server_add_handler(
      server_, nullptr,
      [](SoupServer*, SoupServerMessage* message, const char* path,
         GHashTable* table, gpointer data) {
        auto* self = static_cast<StandInServer*>(data);
        if (std::string(path) == "/control") {
          self->Control(nlohmann::json::parse(Body(message), nullptr, false));
          Reply(message, 200, self->control_values_);
          return;
        }
        Query query;
        if (table != nullptr) {
          GHashTableIter it;
          gpointer key = nullptr;
          gpointer value = nullptr;
          g_hash_table_iter_init(&it, table);
          while (g_hash_table_iter_next(&it, &key, &value)) {
            query[static_cast<char*>(key)] = static_cast<char*>(value);
          }
        }
        self->OnRequest(message, path, query);
      },
      this, nullptr);
  GSocketAddress* address = g_inet_socket_address_new_from_string(
      "127.0.0.1", static_cast<guint>(port));
  GError* error = nullptr;
  const bool ok = soup_server_listen(
      server_, address, static_cast<SoupServerListenOptions>(0), &error);
  g_object_unref(address);
  CHECK(ok) << "cannot listen on port " << port << ": " << error->message;
  GSList* uris = soup_server_get_uris(server_);
  port_ = g_uri_get_port(static_cast<GUri*>(uris->data));
  g_slist_free_full(uris,
                    [](gpointer it) { g_uri_unref(static_cast<GUri*>(it)); });
  return port_;
}

void StandInServer::Close() {
  if (server_ != nullptr) {
    soup_server_disconnect(server_);
    g_clear_object(&server_);
  }
}

void StandInServer::Control(const nlohmann::json& control_values) {
  if (control_values.is_object()) {
    control_values_.update(control_values);
    OnControl();
  }
}

void StandInServer::Reply(SoupServerMessage* message,
                          int status,
                          const nlohmann::json& body) {
  const std::string text = body.dump();
  soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message, "application/json",
                                   SOUP_MEMORY_COPY, text.data(), text.size());
}

std::string StandInServer::Body(SoupServerMessage* message) {
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  GBytes* bytes = soup_message_body_flatten(body);
  gsize n = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &n));
  const std::string out(data == nullptr ? "" : data, n);
  g_bytes_unref(bytes);
  return out;
}

std::string StandInServer::Header(SoupServerMessage* message,
                                  const char* name) {
  const char* value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(message), name);
  return value == nullptr ? "" : value;
}

std::string StandInServer::Method(SoupServerMessage* message) {
  return soup_server_message_get_method(message);
}

void StandInServer::CutConnection(SoupServerMessage* message) {
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket != nullptr) {
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  }
}

void StandInServer::After(int64_t ms, std::function<void()> action) {
  struct Timer {
    std::shared_ptr<bool> alive;
    std::function<void()> action;
  };
  GSource* source = g_timeout_source_new(static_cast<guint>(ms));
  g_source_set_callback(
      source,
      [](gpointer data) -> gboolean {
        auto* timer = static_cast<Timer*>(data);
        if (*timer->alive) {
          timer->action();
        }
        return G_SOURCE_REMOVE;
      },
      new Timer{alive_, std::move(action)},
      [](gpointer data) { delete static_cast<Timer*>(data); });
  g_source_attach(source, g_main_context_get_thread_default());
  g_source_unref(source);
}

}  // namespace tamaracktrail
