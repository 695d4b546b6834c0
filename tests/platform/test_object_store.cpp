// Tests of the HTTP requests to the platform's store and of their results.
#include "platform/object_store.hpp"
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using discovery::collection;

namespace {

struct store_caller {
    discovery::feed_handler keep() {
        return [this](discovery::feed_result result) { this->result = std::move(result); };
    }
    void respond(int status, std::string_view body) {
        auto* listener = this->client.calls.back().listener;
        listener->on_head(status, {});
        listener->on_body({body.data(), body.size()});
        listener->on_done();
    }
    bool failed_with(kernel::error_kind kind) const {
        const auto* reason = std::get_if<kernel::error>(&*this->result);
        return reason != nullptr && reason->kind == kind;
    }
    const http::client_request& request() { return this->client.calls.back().request; }

    tests::scripted_client client;
    platform::object_store store{client, {"10.0.0.9", 80}, {}};
    std::unique_ptr<discovery::feed_call> call;
    std::optional<discovery::feed_result> result;
};

} // namespace

TEST_CASE("platform: list and watch requests contain the kind, the start position and the wait") {
    store_caller caller;
    caller.call = caller.store.list(collection::targets, "i-7", caller.keep());
    CHECK(caller.request().path == "/objects/servers?after=i-7");
    caller.call = caller.store.watch(collection::configuration, 12, 500ms, caller.keep());
    CHECK(caller.request().path == "/objects/config?watch=12&waitMs=500");
    // The store may respond only at the end of the wait.
    CHECK(caller.request().first_byte_timeout > 500ms);
    caller.respond(410, "{}");
    REQUIRE(caller.result);
    CHECK(std::holds_alternative<discovery::history_lost>(*caller.result));
}

TEST_CASE("platform: a gateway's entry is created, replaced and removed by name") {
    store_caller caller;
    caller.call = caller.store.create(collection::members, "g1", "{}", caller.keep());
    CHECK(caller.request().method == "POST");
    CHECK(caller.request().path == "/objects/routers");
    caller.respond(409, "{}");
    REQUIRE(caller.result);
    CHECK(caller.failed_with(kernel::error_kind::conflict));
    caller.call = caller.store.replace(collection::members, "g1", "{}", caller.keep());
    CHECK(caller.request().method == "PUT");
    CHECK(caller.request().path == "/objects/routers/g1");

    caller.call = caller.store.remove(collection::members, "g1", caller.keep());
    CHECK(caller.request().method == "DELETE");
    CHECK(caller.request().path == "/objects/routers/g1");
    CHECK(caller.request().body.empty());
    caller.respond(200, R"({"metadata":{"name":"g1","revision":9},"spec":{}})");
    CHECK_FALSE(std::holds_alternative<kernel::error>(*caller.result));
    caller.call = caller.store.remove(collection::members, "g1", caller.keep());
    caller.respond(404, "{}");
    CHECK(caller.failed_with(kernel::error_kind::not_found));
}
