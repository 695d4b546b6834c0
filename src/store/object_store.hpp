// Interface of the platform's object API: versioned objects with conditional updates and watches,
// and the list of VMs. Callbacks never run within the call.
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

// Version of an object that does not exist. As expected version: the object must not exist.
constexpr object_version absent = 0;

struct object {
    std::string key;
    // Invariant: increases with every update of the object, also across its deletion.
    object_version version = absent;
    std::string value;
};

enum class store_status : std::uint8_t {
    ok,
    not_found,
    // The object's version was not the expected one.
    conflict,
    // The call had no effect: the store rejected it or could not be reached.
    rejected,
    // The response was lost: the call may have taken effect.
    unknown,
};

struct read_result {
    store_status status = store_status::unknown;
    object entry;
};

struct write_result {
    store_status status = store_status::unknown;
    // After `ok` the new version, after `conflict` the current one.
    object_version version = absent;
};

struct list_result {
    store_status status = store_status::unknown;
    // Without their values.
    std::vector<object> objects;
};

struct vm_list_result {
    store_status status = store_status::unknown;
    std::vector<helpers::vm_entry> vms;
};

class object_store {
public:
    virtual ~object_store() = default;
    // Reads one object with its value.
    virtual void read(std::string_view key, std::function<void(read_result)> callback) = 0;
    // Creates or updates the object if its version is `expected`.
    virtual void write(std::string_view key, object_version expected, std::string value,
                       std::function<void(write_result)> callback) = 0;
    // Deletes the object if its version is `expected`.
    virtual void remove(std::string_view key, object_version expected,
                        std::function<void(write_result)> callback) = 0;
    // Lists the objects whose keys start with the prefix.
    virtual void list(std::string_view prefix, std::function<void(list_result)> callback) = 0;

    // Returns the object once its version is above `after`, or `not_found` after max_wait.
    virtual void watch(std::string_view key, object_version after, helpers::duration max_wait,
                       std::function<void(read_result)> callback) = 0;
    // Lists the VMs of the platform with their targets.
    virtual void list_vms(std::function<void(vm_list_result)> callback) = 0;
};

} // namespace samphirespool::store
