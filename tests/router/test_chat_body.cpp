// Parsing of a chat completion's JSON body.
#include "router/chat_body.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace samphirespool;

TEST_CASE("chat body: fields are found in any order and position") {
    const std::string text = R"( {"tools":[{"a":"}]\""},[1,2.5e3,null]],"messages":[
        {"role":"system","content":"be short"},
        {"content":[{"type":"text","text":"one \"quoted\\"},{"type":"image"}],"role":"user"},
        {"role":"assistant","content":"later"}],
        "stream" : true , "model":"m-1","max_tokens":77,"temperature":0.5} )";
    REQUIRE(nlohmann::json::accept(text));
    const auto body = router::parse_chat_body(text);
    REQUIRE(body);
    CHECK(body->model == "m-1");
    CHECK(body->stream);
    CHECK(body->max_tokens == 77);
    REQUIRE(body->opening_messages.size() == 2);
    CHECK(body->opening_messages[0] == "be short");
    CHECK(body->opening_messages[1] == R"(one "quoted\)");
    CHECK_FALSE(body->is_deterministic);
    CHECK(router::parse_chat_body(R"({"temperature":0})")->is_deterministic);
    CHECK(router::parse_chat_body(R"({"temperature":0.0})")->is_deterministic);
    CHECK_FALSE(router::parse_chat_body("{}")->is_deterministic);
}

TEST_CASE("chat body: truncated and damaged bodies are rejected or parsed without reading out of "
          "bounds") {
    const std::string text =
        R"({"model":"m","messages":[{"role":"user","content":"a\\\"b"}],"stream":false})";
    for (std::size_t length = 0; length < text.size(); ++length)
        CHECK_FALSE(router::parse_chat_body(text.substr(0, length)));
    for (const auto* damaged : {"", "[]", "\"text\"", "{\"a\"}", "{\"a\":}", "{,}",
                                "{\"a\":1 \"b\":2}", "{\"messages\":[{]}", "{\"a\":\"\\"})
        CHECK_FALSE(router::parse_chat_body(damaged));
    // Any single byte replaced: no crash, and no message longer than the text.
    for (std::size_t position = 0; position < text.size(); ++position)
        for (const char replacement : {'"', '\\', '{', '}', '[', ']', ',', ':', 'x'}) {
            auto changed = text;
            changed[position] = replacement;
            const auto body = router::parse_chat_body(changed);
            if (body)
                for (const auto& message : body->opening_messages)
                    CHECK(message.size() < changed.size());
        }
}
