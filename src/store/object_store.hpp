// Interface of the platform's object API: versions, conditional updates, watches, the VM list.
#pragma once

#include "helpers/time.hpp"
#include "helpers/vm_entry.hpp"
#include "kernel/error.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::store {

using object_version = std::uint64_t;

// As expected version: the object must not exist.
constexpr object_version absent = 0;

struct object {
    std::string key;
    // Invariant: grows with every update of the object, also over a deletion.
    object_version version = absent;
    std::string value;
};

enum class store_status : std::uint8_t {
    ok,
    not_found,
    // The object's version was not the expected one.
    conflict,
    // The call had no effect.
    rejected,
    // The answer was lost: the call may have taken effect.
    unknown,
};

struct read_result {
    store_status status = store_status::unknown;
    object entry;
};

struct write_result {
    store_status status = store_status::unknown;
    // After ok: the new version. After conflict: the current one.
    object_version version = absent;
};

struct list_result {
    store_status status = store_status::unknown;
    // Values are left out.
    std::vector<object> objects;
};

struct vm_list_result {
    store_status status = store_status::unknown;
    std::vector<helpers::vm_entry> vms;
};

class object_store {
public:
    virtual ~object_store() = default;
    virtual void read(std::string_view key, std::function<void(read_result)> done) = 0;
    virtual void write(std::string_view key, object_version expected, std::string value,
                       std::function<void(write_result)> done) = 0;
    virtual void remove(std::string_view key, object_version expected,
                        std::function<void(write_result)> done) = 0;
    virtual void list(std::string_view prefix, std::function<void(list_result)> done) = 0;

    // Answers once the version is above `after`, or with `not_found` once max_wait has passed.
    virtual void watch(std::string_view key, object_version after, helpers::duration max_wait,
                       std::function<void(read_result)> done) = 0;
    virtual void list_vms(std::function<void(vm_list_result)> done) = 0;
};

} // namespace samphirespool::store
