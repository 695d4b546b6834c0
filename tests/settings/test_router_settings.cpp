// Tests of the router's settings: units, the example file, and the report of all faults of a file
// with their positions.
#include "settings/router_settings.hpp"
#include "settings/units.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <iterator>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

// The tests run in the root of the repository or in the build folder.
std::string example_path() {
    const std::string path = "examples/router.yaml";
    return std::ifstream(path).good() ? path : "../" + path;
}

const std::string minimal = R"(
name: r1
data_centre: a
region: west
caller_listen: 127.0.0.1:0
admin_listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
store: 127.0.0.1:9000
fleet_keys: ["000102030405060708090a0b0c0d0e0f"]
)";

bool reports(const std::vector<kernel::error>& faults, std::string_view text) {
    return std::any_of(faults.begin(), faults.end(), [&](const kernel::error& fault) {
        return fault.detail.find(text) != std::string::npos;
    });
}

} // namespace

TEST_CASE("durations need a unit, sizes may have one, and neither may overflow") {
    CHECK(settings::parse_duration("250ms") == 250ms);
    CHECK(settings::parse_duration("10min") == 10min);
    for (const auto* text : {"", "10", "s", "-1s", "1.5s", "10 s", "10seconds", "99999999999h"})
        CHECK_FALSE(settings::parse_duration(text));
    CHECK(settings::parse_size("8MiB") == 8u * 1024 * 1024);
    CHECK(settings::parse_size("17") == 17u);
    for (const auto* text : {"", "8MB", "MiB", "-1", "99999999999GiB"})
        CHECK_FALSE(settings::parse_size(text));
}

TEST_CASE("the example file is valid and contains the defaults") {
    const auto text = read_file(example_path());
    std::vector<kernel::error> faults;
    const auto example = settings::read_router_settings(text, faults);
    for (const auto& fault : faults)
        MESSAGE(fault.detail);
    REQUIRE(example);
    auto expected = *settings::read_router_settings(minimal, faults);
    // Settings without a default.
    expected.name = example->name;
    expected.data_centre = example->data_centre;
    expected.region = example->region;
    expected.caller_listen = example->caller_listen;
    expected.admin_listen = example->admin_listen;
    expected.peer_listen = example->peer_listen;
    expected.store = example->store;
    expected.fleet_keys = example->fleet_keys;
    expected.seeds = example->seeds;
    expected.admin_tokens = example->admin_tokens;
    CHECK(*example == expected);
    CHECK(example->admin_tokens.at(0).role == settings::admin_role::operator_role);
    CHECK(example->seeds.size() == 2);
}

TEST_CASE("every fault of a file is reported at once with line and column") {
    const std::string text = "name: a b\n"
                             "region: west\n"
                             "caller_listen: localhost:80\n"
                             "admin_listen: 127.0.0.1:70000\n"
                             "peer_listen: 127.0.0.1:0\n"
                             "store: 127.0.0.1:0\n"
                             "fleet_keys: [xyz]\n"
                             "request_timeout: 10\n"
                             "max_body_bytes: 2GiB\n"
                             "  \n"
                             "max_connections: many\n"
                             "max_conections: 5\n"
                             "seed: 1\n"
                             "seed: 2\n"
                             "admin_tls: {key_file: k, cert: c}\n"
                             "admin_tokens: [{name: x, token_hash: 12, role: root}]\n"
                             "seeds: 127.0.0.1:1\n"
                             "receive_buffer: 1KiB\n"
                             "memory_limit_mb: 8\n"
                             "max_descriptors: 10\n";
    std::vector<kernel::error> faults;
    CHECK_FALSE(settings::read_router_settings(text, faults));
    for (const auto* expected :
         {"line 1, column 7: name: must be", "data_centre: is required",
          "line 3, column 16: caller_listen:", "line 4, column 15: admin_listen:",
          "line 6, column 8: store:", "line 7, column 14: fleet_keys:",
          "line 8, column 18: request_timeout: must be a duration from 100ms to 1h",
          "line 9, column 17: max_body_bytes:", "line 11, column 18: max_connections:",
          "line 12, column 1: max_conections: unknown name", "line 14, column 1: seed: given twice",
          "admin_tls.cert: unknown name", "admin_tls.certificate_file: is required",
          "token_hash must be", "role must be", "line 17, column 8: seeds: must be a list",
          "line 18, column 17: receive_buffer: must be a size from 4KiB to 1MiB",
          "line 19, column 18: memory_limit_mb:", "line 20, column 18: max_descriptors:"})
        CHECK_MESSAGE(reports(faults, expected), expected);
    CHECK(faults.size() == 19);
    CHECK(faults.front().kind == kernel::error_kind::invalid_settings);
}

TEST_CASE("text that is not a YAML map is reported as a fault, not as an exception") {
    for (const auto* text : {"", "- a", "name: [", "name: \"x", "? [a]\n: b"}) {
        std::vector<kernel::error> faults;
        CHECK_FALSE(settings::read_router_settings(text, faults));
        CHECK_FALSE(faults.empty());
    }
}

TEST_CASE("files that cannot be used are reported with their keys") {
    settings::router_settings invalid;
    invalid.caller_tls = settings::tls_settings{example_path(), "/nonexistent/key"};
    invalid.log_file = "/nonexistent/log";
    std::vector<kernel::error> faults;
    settings::check_files(invalid, faults);
    REQUIRE(faults.size() == 2);
    CHECK(reports(faults, "caller_tls: "));
    CHECK(reports(faults, "log_file"));
}
