// Counts the calls of the object API and remembers whether the last one was answered.
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
    // Calls of any sort without an answer of the store.
    std::uint64_t failed = 0;
};

class monitored_store final : public object_store {
public:
    explicit monitored_store(object_store& inner) : inner(inner) {}

    const store_call_counters& counters() const { return this->counted; }
    // Whether the last answered or failed call was answered. True before the first one.
    bool reachable() const { return this->last_answered; }

    void read(std::string_view key, std::function<void(read_result)> done) override;
    void write(std::string_view key, object_version expected, std::string value,
               std::function<void(write_result)> done) override;
    void remove(std::string_view key, object_version expected,
                std::function<void(write_result)> done) override;
    void list(std::string_view prefix, std::function<void(list_result)> done) override;
    void watch(std::string_view key, object_version after, helpers::duration max_wait,
               std::function<void(read_result)> done) override;
    void list_vms(std::function<void(vm_list_result)> done) override;

private:
    template <class Result>
    std::function<void(Result)> noting(std::function<void(Result)> done);

    object_store& inner;
    store_call_counters counted;
    bool last_answered = true;
};

} // namespace samphirespool::store
