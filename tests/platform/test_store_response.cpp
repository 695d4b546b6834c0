// Tests of responses of the store in which another writer has left an odd entry: it is set aside
// alone, and the others are read.
#include "platform/object_json.hpp"
#include "platform/object_store.hpp"
#include "platform/store_response.hpp"
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace samphirespool;
using discovery::collection;
using discovery::feed_page;

namespace {

std::string entry(std::string_view more = R"("slots":6)") {
    return R"({"service":"desk","address":"10.0.0.9:80","zone":"z","version":"v1","state":"ready",)"
           R"("coldRemainingMs":0,"sequence":1,"born":1700,)" +
           std::string(more) + "}";
}

std::string object(std::string_view name, std::string_view spec) {
    return R"({"metadata":{"name":")" + std::string(name) + R"(","revision":7},"spec":)" +
           std::string(spec) + "}";
}

std::string nested(std::size_t depth) {
    return R"("slots":6,"x":)" + std::string(depth, '[') + std::string(depth, ']');
}

// Contents that other writers may leave, by what is odd about them.
const std::vector<std::pair<std::string, std::string>> odd_entries{
    {"depth", entry(nested(100'000))},
    {"number", entry(R"("slots":)" + std::string(40, '9'))},
    {"large exponent", entry(R"("slots":1e400)")},
    {"slots out of range", entry(R"("slots":4294967296)")},
    {"negative", entry(R"("slots":-1)")},
    {"fraction", entry(R"("slots":1.5)")},
    {"number in text", entry(R"("slots":"6")")},
    {"null", entry(R"("slots":null)")},
    {"no text", entry(R"("slots":6,"note":")"
                      "\xff\xfe\x80"
                      R"(")")},
    {"surrogate", entry(R"("slots":6,"note":"\udcff")")},
    {"control character", entry("\"slots\":6,\"note\":\"\x01\"")},
    {"literal", entry(R"("slots":six)")},
    {"size", entry(R"("slots":6,"note":")" + std::string(900'000, 'a') + R"(")")},
    {"port out of range",
     R"({"service":"desk","address":"10.0.0.9:70000","zone":"z","state":"ready","slots":6})"},
    {"no port",
     R"({"service":"desk","address":"10.0.0.9:0","zone":"z","state":"ready","slots":6})"},
    {"start out of range",
     R"({"service":"desk","address":"10.0.0.9:80","state":"ready","born":1e30})"},
    {"list", "[]"},
    {"empty", "{}"},
};

feed_page read(const std::string& body) {
    const platform::object_format format{platform::object_part::content, 16384};
    auto result = platform::read_response(200, body, format);
    REQUIRE(std::holds_alternative<feed_page>(result));
    return std::get<feed_page>(std::move(result));
}

// Names of the objects that name a target.
std::vector<std::string> targets_of(const feed_page& page) {
    const platform::json_object_codec codec;
    std::vector<std::string> result;
    for (const auto& each : page.objects) {
        kernel::error reason;
        if (each.is_removed)
            continue;
        if (codec.read_target(each.name, each.content, reason))
            result.push_back(each.name);
        else
            CHECK_FALSE(reason.detail.empty());
    }
    return result;
}

} // namespace

// Guards against LOST and DRAIN: one entry of another writer that cannot be read makes the whole
// list, or every watch, unreadable.
TEST_CASE("store response: an odd entry in a list is set aside, and the others are read") {
    for (const auto& odd : odd_entries) {
        CAPTURE(odd.first);
        const auto page =
            read(R"({"items":[)" + object("i-1", entry()) + "," + object("odd", odd.second) + "," +
                 object("i-2", entry()) + R"(],"more":true,"storeRevision":9})");
        CHECK(page.revision == 9);
        CHECK(page.more);
        CHECK(targets_of(page) == std::vector<std::string>{"i-1", "i-2"});
        // It still counts as present, so that what it named before is no longer used.
        CHECK(page.objects.size() == 3);
    }
}

TEST_CASE("store response: an odd entry among changes is set aside, and the others are read") {
    for (const auto& odd : odd_entries) {
        CAPTURE(odd.first);
        const auto page =
            read(R"({"events":[{"object":)" + object("odd", odd.second) +
                 R"(,"removed":false},{"removed":true,"object":)" + object("i-1", odd.second) +
                 R"(},{"object":)" + object("i-2", entry()) +
                 R"(,"removed":false}],"storeRevision":12})");
        CHECK(page.revision == 12);
        REQUIRE(page.objects.size() == 3);
        CHECK(page.objects[1].is_removed);
        CHECK(page.objects[1].revision == 7);
        CHECK(targets_of(page) == std::vector<std::string>{"i-2"});
    }
}

TEST_CASE("store response: an object whose name cannot be read is left out, with a reason") {
    for (const auto* metadata : {R"({"name":"\udcff"})", R"({"name":7})", "{}", "[]", R"("a")"}) {
        CAPTURE(metadata);
        const auto page =
            read(R"({"items":[{"metadata":)" + std::string(metadata) + R"(,"spec":{}},)" +
                 object("i-1", entry()) + R"(],"storeRevision":9})");
        CHECK(page.objects.size() == 1);
        REQUIRE(page.unreadable.size() == 1);
        CHECK_FALSE(page.unreadable.front().reason.empty());
    }
}

TEST_CASE("store response: a response that is cut off or has no revision is rejected as a whole") {
    const auto list =
        R"({"items":[)" + object("odd", entry(R"("slots":six)")) + R"(],"storeRevision":9})";
    for (std::size_t length = 0; length < list.size(); ++length)
        CHECK(std::holds_alternative<kernel::error>(
            platform::read_response(200, list.substr(0, length))));
    CHECK(std::holds_alternative<kernel::error>(platform::read_response(
        200, R"({"items":[)" + object("odd", entry(R"("slots":six)")) + "]}")));
}

// Guards against requests that another writer's name would change.
TEST_CASE("store: names of objects are encoded in paths and queries") {
    tests::scripted_client client;
    kernel::manual_loop loop;
    admission::memory_budget budget(0);
    http::memory_account memory(budget, loop.time());
    platform::object_store store(client, {"10.0.0.9", 80}, {}, memory);
    const auto done = [](const discovery::feed_result&) {};
    auto call =
        store.list(collection::targets, "a b&c\r\n", discovery::list_freshness::current, done);
    CHECK(client.calls.back().request.path == "/objects/servers?after=a%20b%26c%0D%0A");
    call = store.remove(collection::members, "../x?y", done);
    CHECK(client.calls.back().request.path == "/objects/routers/..%2Fx%3Fy");
}

TEST_CASE("platform: a target's name must be one that can be sent") {
    const platform::json_object_codec codec;
    kernel::error reason;
    CHECK(codec.read_target("i-1", entry(), reason));
    for (const auto& name : {std::string("a b"), std::string("a\r\nb: c"), std::string(),
                             std::string(300, 'a'), std::string("\xc3\xa4")})
        CHECK_FALSE(codec.read_target(name, entry(), reason));
}
