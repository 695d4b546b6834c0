// Splits a query into parameters and looks one up.
#include "admin/query.hpp"

#include <algorithm>

namespace samphirespool::admin {

std::optional<std::string_view> query_value(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto parameter = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto split = parameter.find('=');
        if (split != std::string_view::npos && parameter.substr(0, split) == name)
            return parameter.substr(split + 1);
    }
    return std::nullopt;
}

} // namespace samphirespool::admin
