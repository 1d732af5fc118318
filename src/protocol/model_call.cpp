#include "protocol/model_call.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace tamaracktrail {

namespace {

using nlohmann::json;

//! Largest size of ModelCall::prefix.
constexpr size_t kPrefixBytes = 1024;
//! Assumed maximum of the tokens that a chat template adds to a prompt in all.
constexpr int64_t kMaxTemplateTokens = 64;

std::string ContentText(const json& content) {
  return content.is_string() ? content.get<std::string>() : content.dump();
}

std::string PromptText(const json& body, bool chat) {
  if (!chat) {
    return ContentText(body["prompt"]);
  }
  std::string prompt;
  for (const json& it : body["messages"]) {
    prompt += it.value("role", "") + ":";
    prompt += it.contains("content") ? ContentText(it["content"]) : "";
    prompt += "\n";
  }
  return prompt;
}

absl::Status ValidateBody(const json& body, bool chat) {
  if (!body.is_object()) {
    return absl::InvalidArgumentError("the body is not a JSON object");
  }
  if (!body.contains("model") || !body["model"].is_string()) {
    return absl::InvalidArgumentError("\"model\" is missing");
  }
  const bool has_messages = body.contains("messages") &&
                            body["messages"].is_array() &&
                            !body["messages"].empty();
  if (chat && !has_messages) {
    return absl::InvalidArgumentError("\"messages\" is missing or empty");
  }
  for (const json& it : chat ? body["messages"] : json::array()) {
    if (!it.is_object()) {
      return absl::InvalidArgumentError("a message is not an object");
    }
  }
  if (!chat && !body.contains("prompt")) {
    return absl::InvalidArgumentError("\"prompt\" is missing");
  }
  if (body.contains("max_tokens") && !(body["max_tokens"].is_number_integer() &&
                                       body["max_tokens"].get<int64_t>() > 0)) {
    return absl::InvalidArgumentError("\"max_tokens\" is not positive");
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return absl::InvalidArgumentError("\"stream\" is not a boolean");
  }
  if (body.contains("n") && body["n"] != 1) {
    return absl::InvalidArgumentError("\"n\" other than 1 is not supported");
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<ModelCall> ParseModelCall(const std::string& body,
                                         bool chat,
                                         int64_t default_max_tokens) {
  json parsed = json::parse(body, nullptr, false);
  if (absl::Status status = ValidateBody(parsed, chat); !status.ok()) {
    return status;
  }
  ModelCall call;
  call.chat = chat;
  call.model = parsed["model"].get<std::string>();
  call.stream = parsed.value("stream", false);
  call.max_tokens = parsed.value("max_tokens", default_max_tokens);
  const std::string prompt = PromptText(parsed, chat);
  call.prefix = prompt.substr(0, kPrefixBytes);
  // A token has at least one byte, so the size in bytes bounds the tokens.
  call.max_prompt_tokens =
      static_cast<int64_t>(prompt.size()) + kMaxTemplateTokens;
  parsed["stream"] = true;
  parsed["max_tokens"] = call.max_tokens;
  parsed["stream_options"] = {{"include_usage", true}};
  call.body = parsed.dump(-1, ' ', false, json::error_handler_t::replace);
  return call;
}

std::string ChunkText(const std::string& chunk, bool chat) {
  const json parsed = json::parse(chunk, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("choices") ||
      !parsed["choices"].is_array() || parsed["choices"].empty()) {
    return "";
  }
  const json& choice = parsed["choices"][0];
  const json& text =
      chat ? choice.value("delta", json::object()).value("content", json(""))
           : choice.value("text", json(""));
  return text.is_string() ? text.get<std::string>() : "";
}

std::string MakeCompleteAnswer(const std::string& id,
                               const std::string& model,
                               const std::string& text,
                               int64_t prompt_tokens,
                               int64_t completion_tokens,
                               bool chat) {
  json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const json answer = {{"id", id},
                       {"object", chat ? "chat.completion" : "text_completion"},
                       {"model", model},
                       {"choices", json::array({choice})},
                       {"usage",
                        {{"prompt_tokens", prompt_tokens},
                         {"completion_tokens", completion_tokens},
                         {"total_tokens", prompt_tokens + completion_tokens}}}};
  return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace tamaracktrail
