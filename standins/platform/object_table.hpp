// In-memory object store of the platform stand-in, with versions and conditional updates.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::standins {

struct stored_object {
    std::uint64_t version = 0;
    std::string value;
};

enum class update_status : std::uint8_t {
    ok,
    not_found,
    conflict,
};

struct update_result {
    update_status status = update_status::ok;
    std::uint64_t version = 0;
};

class object_table {
public:
    const stored_object* find(std::string_view key) const;

    // Without an expected version the update is unconditional; 0 means that the key must not exist.
    update_result put(std::string_view key, std::optional<std::uint64_t> expected,
                      std::string value);
    update_result remove(std::string_view key, std::optional<std::uint64_t> expected);

    using visitor = std::function<void(const std::string& key, const stored_object& found)>;
    void visit(std::string_view prefix, const visitor& visit) const;

private:
    // Invariant: at least every version ever assigned, so that a key that is removed and created
    // again never reuses a version.
    std::uint64_t last_version = 0;
    std::map<std::string, stored_object, std::less<>> objects;
};

} // namespace samphirespool::standins
