// Text and wire form of completions, after the OpenAI chat API.
#include "standins/engine/generation.hpp"

#include "standins/common/answer_text.hpp"

#include <nlohmann/json.hpp>

namespace samphirespool::standins {

namespace {

nlohmann::json usage_of(const generation& each) {
    return {{"prompt_tokens", each.prompt_tokens},
            {"completion_tokens", each.position},
            {"total_tokens", each.prompt_tokens + each.position},
            {"cached_tokens", each.cached_tokens}};
}

std::string reported_id(const generation& each) {
    return each.fault == answer_fault::wrong_request_id ? "crossed-" + each.request_id
                                                        : each.request_id;
}

} // namespace

http::header_list answer_headers(const generation& each) {
    return {{"content-type", each.stream ? "text/event-stream" : "application/json"},
            {"x-request-id", reported_id(each)}};
}

void append_token_event(const generation& each, std::string& out) {
    out += R"(data: {"id":")";
    out += each.request_id;
    out += R"(","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":")";
    out += token_text(each.prompt_hash, each.position);
    out += "\"}}]}\n\n";
}

void append_last_events(const generation& each, std::string& out) {
    const nlohmann::json last = {
        {"id", each.request_id},
        {"object", "chat.completion.chunk"},
        {"choices",
         {{{"index", 0}, {"delta", nlohmann::json::object()}, {"finish_reason", "stop"}}}},
        {"usage", usage_of(each)}};
    out += "data: " + last.dump() + "\n\ndata: [DONE]\n\n";
}

std::string whole_answer(const generation& each) {
    const nlohmann::json answer = {{"id", each.request_id},
                                   {"object", "chat.completion"},
                                   {"model", each.model},
                                   {"choices",
                                    {{{"index", 0},
                                      {"message", {{"role", "assistant"}, {"content", each.text}}},
                                      {"finish_reason", "stop"}}}},
                                   {"usage", usage_of(each)}};
    return answer.dump();
}

} // namespace samphirespool::standins
