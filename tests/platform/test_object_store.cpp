// Tests of the HTTP requests to the platform's store and of their results.
#include "platform/object_store.hpp"
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using discovery::collection;

namespace {

struct store_fixture {
    discovery::feed_handler record_result() {
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
    kernel::manual_loop loop;
    admission::memory_budget budget{0};
    http::memory_account memory{budget, loop.time()};
    platform::object_store store{client, {"10.0.0.9", 80}, {}, memory};
    std::unique_ptr<discovery::feed_call> call;
    std::optional<discovery::feed_result> result;
};

} // namespace

TEST_CASE("platform: list and watch requests contain the kind, the start position and the wait") {
    store_fixture fixture;
    fixture.call = fixture.store.list(collection::targets, "i-7",
                                      discovery::list_freshness::current, fixture.record_result());
    CHECK(fixture.request().path == "/objects/servers?after=i-7");
    fixture.call = fixture.store.list(collection::targets, "i-7",
                                      discovery::list_freshness::may_lag, fixture.record_result());
    CHECK(fixture.request().path == "/objects/servers?allowStale=1&after=i-7");
    fixture.call = fixture.store.list(collection::members, "", discovery::list_freshness::may_lag,
                                      fixture.record_result());
    CHECK(fixture.request().path == "/objects/routers?allowStale=1");
    fixture.call =
        fixture.store.watch(collection::configuration, 12, 500ms, fixture.record_result());
    CHECK(fixture.request().path == "/objects/config?watch=12&waitMs=500");
    // The store may respond only at the end of the wait.
    CHECK(fixture.request().first_byte_timeout > 500ms);
    fixture.respond(410, "{}");
    REQUIRE(fixture.result);
    CHECK(std::holds_alternative<discovery::history_lost>(*fixture.result));
}

TEST_CASE("platform: a gateway's entry is created, replaced and removed by name") {
    store_fixture fixture;
    fixture.call = fixture.store.create(collection::members, "g1", "{}", fixture.record_result());
    CHECK(fixture.request().method == "POST");
    CHECK(fixture.request().path == "/objects/routers");
    fixture.respond(409, "{}");
    REQUIRE(fixture.result);
    CHECK(fixture.failed_with(kernel::error_kind::conflict));
    fixture.call = fixture.store.replace(collection::members, "g1", "{}", fixture.record_result());
    CHECK(fixture.request().method == "PUT");
    CHECK(fixture.request().path == "/objects/routers/g1");
    fixture.respond(200, R"({"metadata":{"name":"g1","revision":8},"spec":{}})");
    // The revision of the change, from which on lists contain it.
    REQUIRE(std::holds_alternative<discovery::feed_page>(*fixture.result));
    CHECK(std::get<discovery::feed_page>(*fixture.result).revision == 8);

    fixture.call = fixture.store.remove(collection::members, "g1", fixture.record_result());
    CHECK(fixture.request().method == "DELETE");
    CHECK(fixture.request().path == "/objects/routers/g1");
    CHECK(fixture.request().body.empty());
    fixture.respond(200, R"({"metadata":{"name":"g1","revision":9},"spec":{}})");
    CHECK_FALSE(std::holds_alternative<kernel::error>(*fixture.result));
    fixture.call = fixture.store.remove(collection::members, "g1", fixture.record_result());
    fixture.respond(404, "{}");
    CHECK(fixture.failed_with(kernel::error_kind::not_found));
}

// Guards against two hubs that overwrite each other's objects, and against a conflict that is taken
// for success.
TEST_CASE("platform: a conditional replacement states the revision and returns the stored object") {
    store_fixture fixture;
    const auto replace = [&] {
        fixture.call = fixture.store.replace_if(collection::stream_origins, "all-0", 7, "{}",
                                                fixture.record_result());
    };
    replace();
    CHECK(fixture.request().method == "PUT");
    CHECK(fixture.request().path == "/objects/stream-origins/all-0");
    CHECK(fixture.request().body == R"({"metadata":{"name":"all-0","revision":7},"spec":{}})");
    fixture.respond(409, R"({"metadata":{"name":"all-0","revision":9},"spec":{"x":1}})");
    const auto* conflict = std::get_if<discovery::revision_conflict>(&*fixture.result);
    REQUIRE(conflict != nullptr);
    CHECK(conflict->stored.revision == 9);
    CHECK(conflict->stored.content == R"({"x":1})");
    replace();
    fixture.respond(409, "{}");
    CHECK(fixture.failed_with(kernel::error_kind::conflict));
    replace();
    fixture.respond(404, "{}");
    CHECK(fixture.failed_with(kernel::error_kind::not_found));
    // Callers of create() know no conflict but the error.
    fixture.call =
        fixture.store.create(collection::stream_origins, "all-0", "{}", fixture.record_result());
    fixture.respond(409, R"({"metadata":{"name":"all-0","revision":9},"spec":{"x":1}})");
    CHECK(fixture.failed_with(kernel::error_kind::conflict));
}
