// Reads the gateway's settings from YAML, driven by a table of keys.
#include "settings/gateway_settings.hpp"

#include "placement/target_choice.hpp"
#include "settings/units.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <variant>
#include <yaml-cpp/yaml.h>

namespace samphirespool::settings {

namespace {

constexpr std::size_t min_receive_buffer = 4096;
constexpr std::size_t max_receive_buffer = std::size_t{1} << 20;
constexpr std::size_t min_descriptors = 64;

using member = std::variant<std::string gateway_settings::*, helpers::endpoint gateway_settings::*,
                            helpers::duration gateway_settings::*, double gateway_settings::*,
                            std::size_t gateway_settings::*>;

struct key_rule {
    std::string_view key;
    bool is_required;
    member field;
};

constexpr std::array<key_rule, 28> rules{{
    {"name", true, &gateway_settings::name},
    {"data_centre", true, &gateway_settings::data_centre},
    {"caller_listen", true, &gateway_settings::caller_listen},
    {"ready_listen", true, &gateway_settings::ready_listen},
    {"metrics_listen", true, &gateway_settings::metrics_listen},
    {"peer_listen", true, &gateway_settings::peer_listen},
    {"relay_listen", false, &gateway_settings::relay_listen},
    {"fleet_key", true, &gateway_settings::fleet_key},
    {"store", true, &gateway_settings::store},
    {"shutdown_grace", false, &gateway_settings::shutdown_grace},
    {"max_connections", false, &gateway_settings::max_connections},
    {"max_descriptors", false, &gateway_settings::max_descriptors},
    {"memory_limit_mb", false, &gateway_settings::memory_limit_mb},
    {"receive_buffer", false, &gateway_settings::receive_buffer},
    {"link_mbps", false, &gateway_settings::link_mbps},
    {"cpu_share", false, &gateway_settings::cpu_share},
    {"repeat_ratio", false, &gateway_settings::retry_ratio},
    {"repeat_burst", false, &gateway_settings::retry_burst},
    {"repeat_window", false, &gateway_settings::retry_window},
    {"cold_overage", false, &gateway_settings::cold_overage},
    {"cold_slack", false, &gateway_settings::cold_slack},
    {"configuration_bound", false, &gateway_settings::configuration_bound},
    {"drain_bound", false, &gateway_settings::drain_bound},
    {"rollout_exposure_share", false, &gateway_settings::rollout_exposure_share},
    {"engine_choice", false, &gateway_settings::engine_choice},
    {"plain_choice", false, &gateway_settings::plain_choice},
    {"target_pace", false, &gateway_settings::target_pace},
    {"log_file", false, &gateway_settings::log_file},
}};

// Parses the text of a setting into its member. Each overload returns a description of the expected
// value if the text is malformed or out of range, else an empty text.
struct value_reader {
    gateway_settings& result;
    const std::string& text;

    std::string_view operator()(std::string gateway_settings::*field) const {
        this->result.*field = this->text;
        return {};
    }

    std::string_view operator()(helpers::endpoint gateway_settings::*field) const {
        const auto read = helpers::parse_endpoint(this->text);
        if (!read)
            return "an IP address and a port, such as 10.0.0.1:8080";
        this->result.*field = *read;
        return {};
    }

    std::string_view operator()(helpers::duration gateway_settings::*field) const {
        const auto read = parse_duration(this->text);
        if (!read || *read <= helpers::duration::zero())
            return "a time with its unit, such as 250ms";
        this->result.*field = *read;
        return {};
    }

    std::string_view operator()(double gateway_settings::*field) const {
        double value = 0;
        const auto* end = this->text.data() + this->text.size();
        const auto parsed = std::from_chars(this->text.data(), end, value);
        if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(value) || value < 0)
            return "a number that is not negative";
        this->result.*field = value;
        return {};
    }

    std::string_view operator()(std::size_t gateway_settings::*field) const {
        const auto read = parse_count(this->text);
        if (!read || *read == 0)
            return "a whole number above 0";
        this->result.*field = *read;
        return {};
    }
};

void add_fault(std::vector<kernel::error>& faults, std::string_view key, std::string_view reason) {
    faults.push_back(
        {kernel::error_kind::invalid_settings, std::string(key) + ": " + std::string(reason)});
}

// Reads the value of one key. A missing, null or empty value keeps the default, and is a fault if
// the key is required.
void read_key(const YAML::Node& root, const key_rule& rule, gateway_settings& result,
              std::vector<kernel::error>& faults) {
    const auto node = root[std::string(rule.key)];
    const bool is_empty = !node || node.IsNull() || (node.IsScalar() && node.Scalar().empty());
    if (is_empty) {
        if (rule.is_required)
            add_fault(faults, rule.key, "is missing");
        return;
    }
    if (!node.IsScalar()) {
        add_fault(faults, rule.key, "must be a single value");
        return;
    }
    const auto& text = node.Scalar();
    const auto expected = std::visit(value_reader{result, text}, rule.field);
    if (!expected.empty())
        add_fault(faults, rule.key, "must be " + std::string(expected));
}

void check_choice(std::string_view key, const std::string& name,
                  std::vector<kernel::error>& faults) {
    const auto names = placement::target_choices::instance().names();
    if (std::find(names.begin(), names.end(), name) == names.end())
        add_fault(faults, key, "unknown strategy: " + name);
}

// Port 0 stays: the system chooses one.
helpers::endpoint port_after(helpers::endpoint address) {
    if (address.port != 0)
        ++address.port;
    return address;
}

} // namespace

std::optional<gateway_settings> read_gateway_settings(std::string_view yaml_text,
                                                      std::vector<kernel::error>& faults) {
    const auto faults_before = faults.size();
    YAML::Node root;
    try {
        root = YAML::Load(std::string(yaml_text));
    } catch (const YAML::Exception& fault) {
        add_fault(faults, "settings", fault.what());
        return std::nullopt;
    }
    if (!root.IsMap()) {
        add_fault(faults, "settings", "must be a map");
        return std::nullopt;
    }
    gateway_settings result;
    for (const auto& rule : rules)
        read_key(root, rule, result, faults);
    check_choice("engine_choice", result.engine_choice, faults);
    check_choice("plain_choice", result.plain_choice, faults);
    if (result.target_pace != "off" && result.target_pace != "reported" &&
        result.target_pace != "on")
        add_fault(faults, "target_pace", "must be off, reported or on");
    if (result.receive_buffer < min_receive_buffer || result.receive_buffer > max_receive_buffer)
        add_fault(faults, "receive_buffer", "must be 4096 to 1048576 bytes");
    if (result.max_descriptors != 0 && result.max_descriptors < min_descriptors)
        add_fault(faults, "max_descriptors", "must be 64 or more");
    if (result.rollout_exposure_share > 1)
        add_fault(faults, "rollout_exposure_share", "must be a fraction, at most 1");
    if (faults.size() != faults_before)
        return std::nullopt;
    if (result.relay_listen.ip.empty())
        result.relay_listen = port_after(result.peer_listen);
    return result;
}

} // namespace samphirespool::settings
