// Tests of the client of the object API: a call's status reflects whether it may have had an
// effect, concurrency is bounded, and client and platform stand-in agree.
#include "standins/platform/platform.hpp"
#include "store/http_object_store.hpp"
#include "store/store_json.hpp"
#include "tests/store/fake_exchange.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace samphirespool;
using namespace std::chrono_literals;
using store::store_status;

namespace {

// Records the requests; the test triggers responses and failures.
class scripted_client final : public http::client {
public:
    struct started_call {
        http::client_request request;
        http::response_listener* listener;
    };
    std::unique_ptr<http::client_call> start(const http::client_request& request,
                                             http::response_listener& listener) override {
        this->calls.push_back({request, &listener});
        return nullptr;
    }
    void respond(std::size_t index, int status, const std::string& body) {
        auto& listener = *this->calls.at(index).listener;
        listener.on_head(status, {});
        listener.on_body(body);
        listener.on_done();
    }
    void fail(std::size_t index, bool maybe_sent) {
        this->calls.at(index).listener->on_failed({}, maybe_sent);
    }
    std::vector<started_call> calls;
};

struct fixture {
    kernel::manual_loop loop;
    scripted_client client;
    store::http_store_settings settings{{"127.0.0.1", 1}, 2s, 2, 1};
    store::http_object_store store{loop, client, settings};

    // Starts a write, runs `complete` with the index of its call, and returns its status.
    store_status write_status(const std::function<void(std::size_t)>& complete) {
        std::optional<store::write_result> result;
        this->store.write("k", 7, "v", [&](store::write_result received) { result = received; });
        complete(this->client.calls.size() - 1);
        this->loop.advance(1ms);
        REQUIRE(result);
        return result->status;
    }
};

} // namespace

TEST_CASE("object store client: a write is unknown only if it may have had an effect") {
    fixture f;
    const auto status_after = [&](int status, const std::string& body) {
        return f.write_status([&](std::size_t call) { f.client.respond(call, status, body); });
    };
    CHECK(status_after(200, R"({"version":9})") == store_status::ok);
    CHECK(status_after(200, "garbage") == store_status::unknown);
    CHECK(status_after(409, R"({"version":9})") == store_status::conflict);
    CHECK(status_after(429, "") == store_status::rejected);
    CHECK(status_after(503, "") == store_status::rejected);
    CHECK(status_after(413, "") == store_status::rejected);
    CHECK(status_after(500, "") == store_status::unknown);
    CHECK(f.write_status([&](std::size_t call) { f.client.fail(call, false); }) ==
          store_status::rejected);
    CHECK(f.write_status([&](std::size_t call) { f.client.fail(call, true); }) ==
          store_status::unknown);
    CHECK(f.client.calls[0].request.path == "/v1/objects/k?if_version=7");
}

TEST_CASE("object store client: calls in progress are bounded, a watch is not counted") {
    fixture f;
    std::vector<store_status> reads;
    const auto read = [&] {
        f.store.read("k",
                     [&](const store::read_result& result) { reads.push_back(result.status); });
    };
    f.store.watch("k", 1, 5s, [&](const store::read_result& result) {
        CHECK(result.status == store_status::not_found);
        reads.push_back(result.status);
    });
    CHECK(f.client.calls[0].request.first_byte_timeout == 7s);
    for (int i = 0; i < 4; ++i)
        read();
    CHECK(f.client.calls.size() == 3);
    f.loop.advance(1ms);
    CHECK(reads == std::vector{store_status::rejected});
    f.client.fail(1, true);
    f.loop.advance(1ms);
    CHECK(f.client.calls.size() == 4);
    f.client.respond(0, 204, "");
    f.loop.advance(1ms);
    CHECK(reads.size() == 3);
}

namespace {

// An HTTP client that passes each request to the platform stand-in within the process.
class standin_client final : public http::client {
public:
    explicit standin_client(kernel::loop& loop, standins::platform& platform)
        : loop(loop), platform(platform) {}

    std::unique_ptr<http::client_call> start(const http::client_request& request,
                                             http::response_listener& listener) override {
        tests::recorded_response response;
        this->platform.handle(std::make_unique<tests::fake_exchange>(request.method, request.path,
                                                                     request.body, response));
        this->loop.post([response, &listener] {
            if (response.broken) {
                listener.on_failed({}, true);
                return;
            }
            listener.on_head(*response.status, {});
            listener.on_body(response.body);
            listener.on_done();
        });
        return nullptr;
    }

private:
    kernel::loop& loop;
    standins::platform& platform;
};

} // namespace

TEST_CASE("object store client and stand-in agree on keys, versions, lists and VMs") {
    kernel::manual_loop loop;
    standins::platform platform(loop, {});
    standin_client client(loop, platform);
    store::http_object_store objects(loop, client, {});
    const std::vector<helpers::vm_entry> vms{
        {"vm-1", "dc1", "north", true, {{"t1", "chat", {"10.0.0.1", 80}, 3}}}};
    tests::recorded_response set_vms;
    platform.handle(std::make_unique<tests::fake_exchange>("PUT", "/control/vms",
                                                           store::write_vm_list(vms), set_vms));

    store::write_result written;
    objects.write("a b/c%", 0, "x\"\n", [&](store::write_result result) { written = result; });
    loop.advance(1ms);
    CHECK(written.status == store_status::ok);
    store::read_result read;
    objects.read("a b/c%", [&](const store::read_result& result) { read = result; });
    store::list_result listed;
    objects.list("a b", [&](const store::list_result& result) { listed = result; });
    store::vm_list_result listed_vms;
    objects.list_vms([&](const store::vm_list_result& result) { listed_vms = result; });
    loop.advance(1ms);
    CHECK(read.entry.value == "x\"\n");
    CHECK(read.entry.version == written.version);
    REQUIRE(listed.objects.size() == 1);
    CHECK(listed.objects[0].key == "a b/c%");
    CHECK(listed_vms.vms == vms);
}
