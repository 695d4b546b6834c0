// Forwards every call, counts it and records whether it failed.
#include "store/monitored_store.hpp"

#include <utility>

namespace samphirespool::store {

template <class Result>
std::function<void(Result)> monitored_store::record_result(std::function<void(Result)> callback) {
    return [this, callback = std::move(callback)](Result result) {
        const bool failed =
            result.status == store_status::rejected || result.status == store_status::unknown;
        this->store_responded = !failed;
        this->call_counters.failed += failed ? 1 : 0;
        callback(std::move(result));
    };
}

void monitored_store::read(std::string_view key, std::function<void(read_result)> callback) {
    ++this->call_counters.reads;
    this->inner.read(key, this->record_result(std::move(callback)));
}

void monitored_store::write(std::string_view key, object_version expected, std::string value,
                            std::function<void(write_result)> callback) {
    ++this->call_counters.writes;
    this->inner.write(key, expected, std::move(value), this->record_result(std::move(callback)));
}

void monitored_store::remove(std::string_view key, object_version expected,
                             std::function<void(write_result)> callback) {
    ++this->call_counters.removes;
    this->inner.remove(key, expected, this->record_result(std::move(callback)));
}

void monitored_store::list(std::string_view prefix, std::function<void(list_result)> callback) {
    ++this->call_counters.lists;
    this->inner.list(prefix, this->record_result(std::move(callback)));
}

void monitored_store::watch(std::string_view key, object_version after, helpers::duration max_wait,
                            std::function<void(read_result)> callback) {
    ++this->call_counters.watches;
    this->inner.watch(key, after, max_wait, this->record_result(std::move(callback)));
}

void monitored_store::list_vms(std::function<void(vm_list_result)> callback) {
    ++this->call_counters.vm_lists;
    this->inner.list_vms(this->record_result(std::move(callback)));
}

} // namespace samphirespool::store
