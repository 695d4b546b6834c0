// Tests of the quarantined suspects in the store.
#include "gateway/quarantine_registry.hpp"
#include "platform/object_json.hpp"
#include "tests/discovery/fake_feed.hpp"

#include <doctest/doctest.h>

#include <map>
#include <optional>

using namespace samphirespool;
using namespace std::chrono_literals;
using discovery::collection;
using tests::page_of;
using verdict = gateway::crash_guard::verdict;

namespace {

const admission::suspect_list harmful{{0xa1, 0}, {0xbad, 1}};

using store_content = std::map<std::string, std::string>;

// A gateway that has its own view of the store.
struct guarded_gateway {
    explicit guarded_gateway(const std::string& name, bool is_writer = true)
        : crashes(loop, events, name), registry(loop, events, source, codec, crashes) {
        this->loop.advance(1min);
        this->registry.set_writer_check([is_writer] { return is_writer; });
        this->registry.start();
    }

    void lose_targets(std::uint32_t count) {
        for (std::uint32_t target = 1; target <= count; ++target) {
            this->loop.advance(200ms);
            this->crashes.on_target_lost(harmful, target, true, verdict::admitted);
        }
        this->loop.advance(300ms);
    }
    // Executes the open write, if there is one, on the content and shows the result to the gateway.
    bool execute_write(store_content& content) {
        const auto* call = this->source.open_call(collection::quarantine);
        if (call == nullptr)
            return false;
        if (call->method == "remove")
            content.erase(call->name);
        else
            content[call->name] = call->content;
        this->source.complete(collection::quarantine, page_of(++this->revision));
        this->registry.set_entries(content);
        this->loop.advance(300ms);
        return true;
    }

    kernel::manual_loop loop;
    kernel::null_sink events;
    tests::fake_feed_source source;
    platform::json_object_codec codec;
    gateway::crash_guard crashes;
    gateway::quarantine_registry registry;
    std::uint64_t revision = 1;
};

} // namespace

// Guards against a quarantine that is forgotten when all gateways stop at once.
TEST_CASE("quarantine registry: a fleet that was restarted as a whole keeps its quarantine") {
    store_content content;
    guarded_gateway before("g1");
    before.lose_targets(3);
    REQUIRE(before.execute_write(content));
    CHECK(content.size() == 1);
    CHECK(content.contains("bad"));
    guarded_gateway after("g1");
    CHECK(after.crashes.check(harmful, "id").result == verdict::admitted);
    after.registry.set_entries(content);
    CHECK(after.crashes.check(harmful, "id").result == verdict::quarantined);
    CHECK_FALSE(after.execute_write(content));
}

// Guards against each gateway of a large fleet writing the same entry.
TEST_CASE(
    "quarantine registry: only hubs write, and an entry that is listed is not written again") {
    store_content content;
    guarded_gateway follower("g2", false);
    follower.lose_targets(4);
    CHECK(follower.source.calls.empty());
    guarded_gateway hub("g1");
    hub.lose_targets(3);
    REQUIRE(hub.execute_write(content));
    hub.lose_targets(9);
    hub.loop.advance(5s);
    CHECK(hub.source.calls.size() == 1);
}

// Guards against a store that is away, or that comes back without the latest writes.
TEST_CASE("quarantine registry: failed and lost entries are written again, and release nothing") {
    store_content content;
    guarded_gateway hub("g1");
    hub.lose_targets(3);
    hub.source.complete(collection::quarantine,
                        kernel::error{kernel::error_kind::store_unavailable, "503"});
    hub.loop.advance(1200ms);
    REQUIRE(hub.execute_write(content));
    content.clear();
    hub.registry.set_entries(content);
    CHECK(hub.crashes.check(harmful, "id").result == verdict::quarantined);
    hub.loop.advance(300ms);
    REQUIRE(hub.execute_write(content));
    CHECK(content.contains("bad"));
}

// Guards against a released segment that returns from the store.
TEST_CASE("quarantine registry: a release is recorded, reaches gateways without peers, and is "
          "removed later") {
    store_content content;
    guarded_gateway hub("g1");
    hub.lose_targets(3);
    REQUIRE(hub.execute_write(content));
    guarded_gateway isolated("g2");
    isolated.registry.set_entries(content);
    CHECK(isolated.crashes.check(harmful, "id").result == verdict::quarantined);
    hub.crashes.on_under_way(harmful);
    hub.loop.advance(300ms);
    REQUIRE(hub.execute_write(content));
    hub.registry.set_entries(content);
    CHECK(hub.crashes.check(harmful, "id").result == verdict::admitted);
    isolated.registry.set_entries(content);
    CHECK(isolated.crashes.check(harmful, "id").result == verdict::admitted);
    hub.loop.advance(3min);
    REQUIRE(hub.execute_write(content));
    CHECK(content.empty());
}

// Guards against entries of another writer that stop a gateway.
TEST_CASE("quarantine registry: unreadable entries are skipped") {
    guarded_gateway hub("g1");
    hub.registry.set_entries({{"xyz", "{}"}, {"12", "[}"}, {"bad", R"({"quarantined":true})"}});
    CHECK(hub.crashes.quarantined_segments() == 1);
    CHECK(hub.crashes.check(harmful, "id").result == verdict::quarantined);
}

// Guards against a segment that is quarantined anew, after a release, and not recorded.
TEST_CASE(
    "quarantine registry: a segment that crashes targets again after its release is recorded") {
    store_content content;
    guarded_gateway hub("g1");
    hub.lose_targets(3);
    REQUIRE(hub.execute_write(content));
    hub.crashes.on_under_way(harmful);
    hub.loop.advance(300ms);
    REQUIRE(hub.execute_write(content));
    hub.lose_targets(3);
    CHECK(hub.crashes.check(harmful, "id").result == verdict::quarantined);
    REQUIRE(hub.execute_write(content));
    guarded_gateway restarted("g1");
    restarted.registry.set_entries(content);
    CHECK(restarted.crashes.check(harmful, "id").result == verdict::quarantined);
}
