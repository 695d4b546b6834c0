// Authentication by bearer token and authorization by role, for the administration API.
#pragma once

#include "http/message.hpp"
#include "settings/router_settings.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::admin {

struct identity {
    std::string name;
    settings::admin_role role = settings::admin_role::reader;

    bool has_role(settings::admin_role required) const { return this->role >= required; }
};

// Lower-case hex SHA-256, the form in which the settings store tokens.
std::string token_hash(std::string_view token);

class access_control {
public:
    explicit access_control(std::vector<settings::admin_token> tokens)
        : tokens(std::move(tokens)) {}

    // Returns nullopt if the authorization header is missing or its token is unknown; without any
    // tokens in the settings every call is rejected. Runs in constant time for a given header
    // length, so that timing does not reveal how much of a token is correct.
    std::optional<identity> authenticate(const http::header_list& headers) const;

private:
    std::vector<settings::admin_token> tokens;
};

} // namespace samphirespool::admin
