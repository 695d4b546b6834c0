// Text and wire format of completions, as in the OpenAI chat API.
#include "standins/engine/generation.hpp"

#include "standins/common/response_text.hpp"

#include <nlohmann/json.hpp>

namespace samphirespool::standins {

namespace {

nlohmann::json usage_of(const generation& completion) {
    return {{"prompt_tokens", completion.prompt_tokens},
            {"completion_tokens", completion.position},
            {"total_tokens", completion.prompt_tokens + completion.position},
            {"cached_tokens", completion.cached_tokens}};
}

std::string reported_id(const generation& completion) {
    return completion.fault == response_fault::wrong_request_id ? "crossed-" + completion.request_id
                                                                : completion.request_id;
}

} // namespace

http::header_list response_headers(const generation& completion) {
    return {{"content-type", completion.stream ? "text/event-stream" : "application/json"},
            {"x-request-id", reported_id(completion)}};
}

void append_token_event(const generation& completion, std::string& out) {
    out += R"(data: {"id":")";
    out += completion.request_id;
    out += R"(","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":")";
    out += token_text(completion.prompt_hash, completion.position);
    out += "\"}}]}\n\n";
}

void append_final_events(const generation& completion, std::string& out) {
    const nlohmann::json last = {
        {"id", completion.request_id},
        {"object", "chat.completion.chunk"},
        {"choices",
         {{{"index", 0}, {"delta", nlohmann::json::object()}, {"finish_reason", "stop"}}}},
        {"usage", usage_of(completion)}};
    out += "data: " + last.dump() + "\n\ndata: [DONE]\n\n";
}

std::string complete_response(const generation& completion) {
    const nlohmann::json response = {
        {"id", completion.request_id},
        {"object", "chat.completion"},
        {"model", completion.model},
        {"choices",
         {{{"index", 0},
           {"message", {{"role", "assistant"}, {"content", completion.text}}},
           {"finish_reason", "stop"}}}},
        {"usage", usage_of(completion)}};
    return response.dump();
}

} // namespace samphirespool::standins
