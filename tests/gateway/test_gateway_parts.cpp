// Tests of the gateway's header fields, event splitter and settings.
#include "gateway/event_splitter.hpp"
#include "gateway/request_metadata.hpp"
#include "settings/gateway_settings.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view valid_settings = R"(
name: g1
data_centre: east
caller_listen: 127.0.0.1:0
ready_listen: 127.0.0.1:0
metrics_listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
fleet_key: 00112233445566778899aabbccddeeff
store: 127.0.0.1:9
shutdown_grace: 8s
repeat_ratio: 0.2
later_key: ignored
)";

} // namespace

TEST_CASE("request metadata: prompt segments are parsed and malformed ones are skipped") {
    const auto parts =
        gateway::parse_prompt_segments("5c1e07a2:800, 91bd3f06:410,zz:1,e4402b7d:250,");
    REQUIRE(parts.size() == 3);
    CHECK(parts[0].id == 0x5c1e07a2);
    CHECK(parts[2].tokens == 250);
    placement::prompt prompt{parts, 80};
    CHECK(prompt.shared_prefix() == 0x91bd3f06);
    CHECK(prompt.shared_prefix_tokens() == 1210);
}

// Guards against requests that cannot be told apart, or not recognised as the same, in the log.
TEST_CASE("request metadata: the digest is that of the caller and of what it asks for") {
    const http::header_list first_fields{{"x-request-id", "1"}};
    const http::header_list second_fields{{"x-request-id", "2"}};
    const http::server_request request{"POST", "host", "/a/1", "q=1", "body", first_fields};
    const auto digest = gateway::request_digest(request, "org");
    const http::server_request repeat{"POST", "host", "/a/1", "q=1", "body", second_fields};
    CHECK(gateway::request_digest(repeat, "org") == digest);
    CHECK(gateway::request_digest(request, "other") != digest);
    const std::vector<http::server_request> others{
        {"GET", "host", "/a/1", "q=1", "body", first_fields},
        {"POST", "hos", "t/a/1", "q=1", "body", first_fields},
        {"POST", "host", "/a/2", "q=1", "body", first_fields},
        {"POST", "host", "/a/1", "q=2", "body", first_fields},
        {"POST", "host", "/a/1", "q=1", "", first_fields},
        {"POST", "host", "/a/1", "", "q=1body", first_fields}};
    for (const auto& each : others)
        CHECK(gateway::request_digest(each, "org") != digest);
}

TEST_CASE("request metadata: occupancy reports are parsed and malformed ones are rejected") {
    const auto load = gateway::parse_occupancy_report("3,1,8");
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slots == 8);
    CHECK_FALSE(gateway::parse_occupancy_report("3,1"));
    CHECK_FALSE(gateway::parse_occupancy_report("-3,1,8"));
}

TEST_CASE("event splitter: only complete events are returned, wherever the bytes are split") {
    const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
        gateway::event_splitter splitter;
        std::string output(splitter.append(text.substr(0, cut)));
        CHECK((output.empty() || output.ends_with("\n\n")));
        output += splitter.append(text.substr(cut));
        CHECK(output == text);
        CHECK(splitter.at_boundary());
        CHECK(splitter.last_id() == 2);
    }
}

// Guards against ORDER: what another target sends is joined to a stream that it does not continue.
TEST_CASE("event splitter: another response continues a stream only with the next event") {
    const auto event = [](const std::string& id) { return "id: " + id + "\ndata: a\n\n"; };
    const auto continues = [](std::string_view first, std::string_view second) {
        gateway::event_splitter splitter;
        splitter.append(first);
        splitter.begin_response();
        const std::string events(splitter.append(second));
        CHECK(splitter.is_out_of_order() == events.empty());
        CHECK(splitter.append("id: 1\ndata: b\n\n").empty());
        return !events.empty();
    };
    CHECK(continues(event("1") + event("2"), event("3")));
    // The target repeats the last event that it was told.
    CHECK(continues(event("1") + event("2"), event("2") + event("3")));
    CHECK(continues(event("1") + event("2") + "id: 3\nda", event("3")));
    CHECK(continues(event("10") + event("15"), event("18")));
    CHECK(continues(event("1"), ": a comment\n\n" + event("2")));
    CHECK_FALSE(continues(event("1") + event("2"), event("1") + event("2")));
    CHECK_FALSE(continues(event("1") + event("2"), event("4")));
    CHECK_FALSE(continues(event("1"), event("3")));
    CHECK_FALSE(continues(event("1"), "data: no id\n\n"));
    CHECK_FALSE(continues(event("1"), "an error\n\nof a target\n\n"));
    CHECK_FALSE(continues("data: no id\n\n", event("1")));
    gateway::event_splitter resumed;
    resumed.resume_after(7);
    CHECK(resumed.append(event("1")).empty());
    CHECK(resumed.is_out_of_order());
}

TEST_CASE("gateway settings: limits of memory and descriptors have defaults and bounds") {
    std::vector<kernel::error> faults;
    const auto defaults = settings::read_gateway_settings(valid_settings, faults);
    REQUIRE(defaults);
    CHECK(defaults->receive_buffer == 8192);
    CHECK(defaults->max_descriptors == 0);
    CHECK(defaults->max_connections == 2000);
    const std::string text(valid_settings);
    const auto read = settings::read_gateway_settings(
        text + "receive_buffer: 4096\nmax_descriptors: 64\n", faults);
    REQUIRE(read);
    CHECK(read->receive_buffer == 4096);
    CHECK(read->max_descriptors == 64);
    CHECK_FALSE(settings::read_gateway_settings(
        text + "receive_buffer: 4095\nmax_descriptors: 63\n", faults));
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].detail.starts_with("receive_buffer: must be 4096 to"));
    CHECK(faults[1].detail.starts_with("max_descriptors: must be 64"));
}

TEST_CASE("gateway settings: unknown keys are ignored, and errors name their key") {
    std::vector<kernel::error> faults;
    const auto read = settings::read_gateway_settings(valid_settings, faults);
    REQUIRE(read);
    CHECK(faults.empty());
    CHECK(read->shutdown_grace == 8s);
    CHECK(read->retry_ratio == doctest::Approx(0.2));

    const std::string invalid_settings =
        std::string(valid_settings) +
        "repeat_burst: many\ncold_slack: -1\nengine_choice: nearest\n";
    CHECK_FALSE(settings::read_gateway_settings(invalid_settings, faults));
    REQUIRE(faults.size() == 3);
    CHECK(faults[0].detail.starts_with("repeat_burst"));
    CHECK(faults[1].detail.starts_with("cold_slack"));
    CHECK(faults[2].detail.starts_with("engine_choice"));
    faults.clear();
    CHECK_FALSE(settings::read_gateway_settings("name: g1", faults));
    CHECK(faults.size() == 7);
    faults.clear();
    CHECK_FALSE(settings::read_gateway_settings("[", faults));
    CHECK(faults.size() == 1);
}
