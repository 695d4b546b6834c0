// Decorator of an object store that counts calls and records whether the store is reachable.
#pragma once

#include "store/object_store.hpp"

namespace samphirespool::store {

struct store_call_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t removes = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t vm_lists = 0;
    // Calls of any kind that ended as `rejected` or `unknown`.
    std::uint64_t failed = 0;
};

class monitored_store final : public object_store {
public:
    explicit monitored_store(object_store& inner) : inner(inner) {}

    const store_call_counters& counters() const { return this->call_counters; }
    // Whether the store responded to the last finished call. True before the first one.
    bool reachable() const { return this->store_responded; }

    void read(std::string_view key, std::function<void(read_result)> callback) override;
    void write(std::string_view key, object_version expected, std::string value,
               std::function<void(write_result)> callback) override;
    void remove(std::string_view key, object_version expected,
                std::function<void(write_result)> callback) override;
    void list(std::string_view prefix, std::function<void(list_result)> callback) override;
    void watch(std::string_view key, object_version after, helpers::duration max_wait,
               std::function<void(read_result)> callback) override;
    void list_vms(std::function<void(vm_list_result)> callback) override;

private:
    // Wraps the callback so that the status of the result is recorded first.
    template <class Result>
    std::function<void(Result)> record_result(std::function<void(Result)> callback);

    object_store& inner;
    store_call_counters call_counters;
    bool store_responded = true;
};

} // namespace samphirespool::store
