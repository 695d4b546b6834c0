// Reads the router's settings from YAML, driven by a table of keys, and reports every fault with
// its line and column.
#include "settings/router_settings.hpp"

#include "settings/units.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <set>
#include <span>
#include <variant>
#include <yaml-cpp/yaml.h>

namespace samphirespool::settings {

namespace {

constexpr std::size_t max_name_length = 64;
constexpr std::size_t token_hash_digits = 64;
constexpr std::size_t min_key_digits = 32;
constexpr std::size_t max_key_digits = 128;

template <class Value>
using member = Value router_settings::*;

// Rules by the kind of value: the member that receives the value and the accepted range.
struct name_rule {
    member<std::string> field;
};

struct path_rule {
    member<std::string> field;
};

struct endpoint_rule {
    member<helpers::endpoint> field;
    // Whether port 0 is accepted, with which the system chooses the port of a listener.
    bool allows_port_zero;
};

struct endpoint_list_rule {
    member<std::vector<helpers::endpoint>> field;
};

struct tls_rule {
    member<std::optional<tls_settings>> field;
};

struct token_list_rule {
    member<std::vector<admin_token>> field;
};

struct key_list_rule {
    member<std::vector<std::string>> field;
};

struct count_rule {
    member<std::size_t> field;
    std::uint64_t min;
    std::uint64_t max;
};

struct size_rule {
    member<std::size_t> field;
    std::uint64_t min;
    std::uint64_t max;
    // The range as text for fault messages.
    std::string_view range;
};

struct duration_rule {
    member<helpers::duration> field;
    helpers::duration min;
    helpers::duration max;
    // The range as text for fault messages.
    std::string_view range;
};

struct seed_rule {
    member<std::uint64_t> field;
};

using value_rule =
    std::variant<name_rule, path_rule, endpoint_rule, endpoint_list_rule, tls_rule, token_list_rule,
                 key_list_rule, count_rule, size_rule, duration_rule, seed_rule>;

struct key_rule {
    std::string_view name;
    bool is_required;
    value_rule rule;
};

using namespace std::chrono_literals;
using settings = router_settings;

const std::array<key_rule, 24> key_rules{{
    {"name", true, name_rule{&settings::name}},
    {"data_centre", true, name_rule{&settings::data_centre}},
    {"region", true, name_rule{&settings::region}},
    {"caller_listen", true, endpoint_rule{&settings::caller_listen, true}},
    {"caller_tls", false, tls_rule{&settings::caller_tls}},
    {"admin_listen", true, endpoint_rule{&settings::admin_listen, true}},
    {"admin_tls", false, tls_rule{&settings::admin_tls}},
    {"admin_tokens", false, token_list_rule{&settings::admin_tokens}},
    {"peer_listen", true, endpoint_rule{&settings::peer_listen, true}},
    {"seeds", false, endpoint_list_rule{&settings::seeds}},
    {"fleet_keys", true, key_list_rule{&settings::fleet_keys}},
    {"store", true, endpoint_rule{&settings::store, false}},
    {"max_body_bytes", false,
     size_rule{&settings::max_body_bytes, 1024, 1ULL << 30, "1KiB to 1GiB"}},
    {"max_connections", false, count_rule{&settings::max_connections, 1, 1'000'000}},
    {"max_descriptors", false, count_rule{&settings::max_descriptors, 64, 1'000'000}},
    {"memory_limit_mb", false, count_rule{&settings::memory_limit_mb, 16, 1'000'000}},
    {"receive_buffer", false,
     size_rule{&settings::receive_buffer, 4096, 1ULL << 20, "4KiB to 1MiB"}},
    {"request_timeout", false, duration_rule{&settings::request_timeout, 100ms, 1h, "100ms to 1h"}},
    {"idle_timeout", false, duration_rule{&settings::idle_timeout, 100ms, 24h, "100ms to 24h"}},
    {"max_deadline", false, duration_rule{&settings::max_deadline, 1s, 24h, "1s to 24h"}},
    {"shutdown_grace", false, duration_rule{&settings::shutdown_grace, 0s, 24h, "0s to 24h"}},
    {"max_queued_requests", false, count_rule{&settings::max_queued_requests, 0, 10'000'000}},
    {"log_file", false, path_rule{&settings::log_file}},
    {"seed", false, seed_rule{&settings::seed}},
}};

bool is_name(std::string_view text) {
    if (text.empty() || text.size() > max_name_length)
        return false;
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_' ||
               character == '.';
    });
}

bool is_hex(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char character) { return std::isxdigit(character) != 0; });
}

class settings_reader {
public:
    explicit settings_reader(std::vector<kernel::error>& faults) : faults(faults) {}

    settings read(const YAML::Node& root) {
        if (!root.IsMap()) {
            this->add_fault(root, "the settings must be a map of keys to values");
            return this->result;
        }
        this->check_keys(root, "", this->top_level_keys());
        for (const auto& [name, is_required, rule] : key_rules) {
            const auto node = root[std::string(name)];
            if (node.IsDefined())
                std::visit([&, key = name](const auto& kind) { this->apply(kind, node, key); },
                           rule);
            else if (is_required)
                this->add_fault(root, std::string(name) + ": is required and missing");
        }
        return this->result;
    }

private:
    static std::vector<std::string_view> top_level_keys() {
        std::vector<std::string_view> names;
        names.reserve(key_rules.size());
        for (const auto& rule : key_rules)
            names.push_back(rule.name);
        return names;
    }

    // Adds a fault with the position of the node, if it has one.
    void add_fault(const YAML::Node& node, const std::string& text) {
        const auto mark = node.Mark();
        std::string position;
        if (!mark.is_null())
            position = "line " + std::to_string(mark.line + 1) + ", column " +
                       std::to_string(mark.column + 1) + ": ";
        this->faults.push_back({kernel::error_kind::invalid_settings, position + text});
    }

    void add_fault(const YAML::Node& node, std::string_view key, std::string_view text) {
        this->add_fault(node, std::string(key) + ": " + std::string(text));
    }

    // Adds a fault for each key of the map that is unknown or occurs twice. `prefix` is put before
    // the key in the fault: empty, or the path of a nested map with a dot.
    void check_keys(const YAML::Node& map, const std::string& prefix,
                    std::span<const std::string_view> allowed_keys) {
        std::set<std::string> seen;
        for (const auto& entry : map) {
            if (!entry.first.IsScalar()) {
                this->add_fault(entry.first, prefix + "a key must be a plain name");
                continue;
            }
            const auto& name = entry.first.Scalar();
            if (std::find(allowed_keys.begin(), allowed_keys.end(), name) == allowed_keys.end())
                this->add_fault(entry.first, prefix + name + ": unknown name");
            if (!seen.insert(name).second)
                this->add_fault(entry.first, prefix + name + ": given twice");
        }
    }

    // Returns the text of a scalar node; any other node is a fault.
    std::optional<std::string> scalar(const YAML::Node& node, std::string_view key) {
        if (node.IsScalar())
            return node.Scalar();
        this->add_fault(node, key, "must be a single value");
        return std::nullopt;
    }

    bool is_list(const YAML::Node& node, std::string_view key) {
        if (node.IsSequence())
            return true;
        this->add_fault(node, key, "must be a list");
        return false;
    }

    void apply(const name_rule& rule, const YAML::Node& node, std::string_view key) {
        const auto text = this->scalar(node, key);
        if (!text)
            return;
        if (!is_name(*text))
            this->add_fault(node, key,
                            "must be 1 to 64 letters, digits, hyphens, underscores or dots");
        this->result.*rule.field = *text;
    }

    void apply(const path_rule& rule, const YAML::Node& node, std::string_view key) {
        if (const auto text = this->scalar(node, key))
            this->result.*rule.field = *text;
    }

    std::optional<helpers::endpoint> endpoint(const YAML::Node& node, std::string_view key,
                                              bool allows_port_zero) {
        const auto text = this->scalar(node, key);
        if (!text)
            return std::nullopt;
        auto address = helpers::parse_endpoint(*text);
        if (!address)
            this->add_fault(node, key, "must be an IP number and a port, such as 10.0.0.1:8080");
        else if (address->port == 0 && !allows_port_zero)
            this->add_fault(node, key, "must name a port from 1 to 65535");
        return address;
    }

    void apply(const endpoint_rule& rule, const YAML::Node& node, std::string_view key) {
        if (const auto address = this->endpoint(node, key, rule.allows_port_zero))
            this->result.*rule.field = *address;
    }

    void apply(const endpoint_list_rule& rule, const YAML::Node& node, std::string_view key) {
        if (!this->is_list(node, key))
            return;
        for (const auto& item : node)
            if (const auto address = this->endpoint(item, key, false))
                (this->result.*rule.field).push_back(*address);
    }

    // Reads an entry of a nested map; a missing or empty one is a fault.
    std::string nested_text(const YAML::Node& map, std::string_view key, const std::string& name) {
        const auto full_name = std::string(key) + "." + name;
        const auto node = map[name];
        if (!node.IsDefined()) {
            this->add_fault(map, full_name, "is required and missing");
            return {};
        }
        const auto text = this->scalar(node, full_name);
        if (text && text->empty())
            this->add_fault(node, full_name, "must not be empty");
        return text.value_or("");
    }

    void apply(const tls_rule& rule, const YAML::Node& node, std::string_view key) {
        if (!node.IsMap()) {
            this->add_fault(node, key, "must be a map of certificate_file and key_file");
            return;
        }
        constexpr std::array<std::string_view, 2> allowed_keys{"certificate_file", "key_file"};
        this->check_keys(node, std::string(key) + ".", allowed_keys);
        this->result.*rule.field = tls_settings{this->nested_text(node, key, "certificate_file"),
                                                this->nested_text(node, key, "key_file")};
    }

    admin_token token(const YAML::Node& node, std::string_view key) {
        constexpr std::array<std::string_view, 3> allowed_keys{"name", "token_hash", "role"};
        this->check_keys(node, std::string(key) + ".", allowed_keys);
        admin_token token{this->nested_text(node, key, "name"),
                          this->nested_text(node, key, "token_hash")};
        if (token.token_hash.size() != token_hash_digits || !is_hex(token.token_hash))
            this->add_fault(node, key, "token_hash must be the 64 hex digits of a SHA-256");
        std::transform(token.token_hash.begin(), token.token_hash.end(), token.token_hash.begin(),
                       [](unsigned char digit) { return static_cast<char>(std::tolower(digit)); });
        const auto role = this->nested_text(node, key, "role");
        if (role == "operator")
            token.role = admin_role::operator_role;
        else if (role != "reader")
            this->add_fault(node, key, "role must be reader or operator");
        return token;
    }

    void apply(const token_list_rule& rule, const YAML::Node& node, std::string_view key) {
        if (!this->is_list(node, key))
            return;
        std::set<std::string> names;
        for (const auto& item : node) {
            if (!item.IsMap()) {
                this->add_fault(item, key, "each token must be a map of name, token_hash and role");
                continue;
            }
            auto token = this->token(item, key);
            if (!names.insert(token.name).second)
                this->add_fault(item, key, "the name " + token.name + " is used by two tokens");
            (this->result.*rule.field).push_back(std::move(token));
        }
    }

    void apply(const key_list_rule& rule, const YAML::Node& node, std::string_view key) {
        if (!this->is_list(node, key))
            return;
        if (node.size() == 0)
            this->add_fault(node, key, "must hold at least one key");
        for (const auto& item : node) {
            const auto text = this->scalar(item, key);
            if (!text)
                continue;
            const auto digit_count = text->size();
            if (digit_count < min_key_digits || digit_count > max_key_digits ||
                digit_count % 2 != 0 || !is_hex(*text))
                this->add_fault(item, key, "a key must be 32 to 128 hex digits, an even number");
            (this->result.*rule.field).push_back(*text);
        }
    }

    void apply(const count_rule& rule, const YAML::Node& node, std::string_view key) {
        const auto text = this->scalar(node, key);
        if (!text)
            return;
        const auto value = parse_count(*text);
        if (!value || *value < rule.min || *value > rule.max)
            this->add_fault(node, key,
                            "must be a whole number from " + std::to_string(rule.min) + " to " +
                                std::to_string(rule.max));
        else
            this->result.*rule.field = static_cast<std::size_t>(*value);
    }

    void apply(const size_rule& rule, const YAML::Node& node, std::string_view key) {
        const auto text = this->scalar(node, key);
        if (!text)
            return;
        const auto value = parse_size(*text);
        if (!value || *value < rule.min || *value > rule.max)
            this->add_fault(node, key,
                            "must be a size from " + std::string(rule.range) + ", such as 8MiB");
        else
            this->result.*rule.field = static_cast<std::size_t>(*value);
    }

    void apply(const duration_rule& rule, const YAML::Node& node, std::string_view key) {
        const auto text = this->scalar(node, key);
        if (!text)
            return;
        const auto value = parse_duration(*text);
        if (!value || *value < rule.min || *value > rule.max)
            this->add_fault(node, key,
                            "must be a duration from " + std::string(rule.range) +
                                " with its unit, such as 250ms or 10s");
        else
            this->result.*rule.field = *value;
    }

    void apply(const seed_rule& rule, const YAML::Node& node, std::string_view key) {
        const auto text = this->scalar(node, key);
        if (!text)
            return;
        const auto value = parse_count(*text);
        if (!value)
            this->add_fault(node, key, "must be a whole number from 0 to 18446744073709551615");
        this->result.*rule.field = value.value_or(0);
    }

    std::vector<kernel::error>& faults;
    settings result;
};

} // namespace

std::optional<router_settings> read_router_settings(std::string_view yaml_text,
                                                    std::vector<kernel::error>& faults) {
    const auto faults_before = faults.size();
    try {
        const auto root = YAML::Load(std::string(yaml_text));
        auto result = settings_reader(faults).read(root);
        if (faults.size() == faults_before)
            return result;
    } catch (const YAML::Exception& reason) {
        const auto position = "line " + std::to_string(reason.mark.line + 1) + ", column " +
                              std::to_string(reason.mark.column + 1) + ": ";
        faults.push_back({kernel::error_kind::invalid_settings, position + reason.msg});
    }
    return std::nullopt;
}

} // namespace samphirespool::settings
