// Bearer tokens of the administration API: who calls, and what it may do.
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

    bool may(settings::admin_role wanted) const { return this->role >= wanted; }
};

// Lower-case hex SHA-256, as the settings hold it.
std::string token_hash(std::string_view token);

class access_control {
public:
    explicit access_control(std::vector<settings::admin_token> tokens)
        : tokens(std::move(tokens)) {}

    // Nothing if the header is missing or its token unknown. Without tokens nobody is let in. The
    // time taken does not depend on how much of a token is right.
    std::optional<identity> identify(const http::header_list& headers) const;

private:
    std::vector<settings::admin_token> tokens;
};

} // namespace samphirespool::admin
