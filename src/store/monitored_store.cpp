// Passes every call on and notes its status.
#include "store/monitored_store.hpp"

#include <utility>

namespace samphirespool::store {

template <class Result>
std::function<void(Result)> monitored_store::noting(std::function<void(Result)> done) {
    return [this, done = std::move(done)](Result result) {
        const bool failed =
            result.status == store_status::rejected || result.status == store_status::unknown;
        this->last_answered = !failed;
        this->counted.failed += failed ? 1 : 0;
        done(std::move(result));
    };
}

void monitored_store::read(std::string_view key, std::function<void(read_result)> done) {
    ++this->counted.reads;
    this->inner.read(key, this->noting(std::move(done)));
}

void monitored_store::write(std::string_view key, object_version expected, std::string value,
                            std::function<void(write_result)> done) {
    ++this->counted.writes;
    this->inner.write(key, expected, std::move(value), this->noting(std::move(done)));
}

void monitored_store::remove(std::string_view key, object_version expected,
                             std::function<void(write_result)> done) {
    ++this->counted.removes;
    this->inner.remove(key, expected, this->noting(std::move(done)));
}

void monitored_store::list(std::string_view prefix, std::function<void(list_result)> done) {
    ++this->counted.lists;
    this->inner.list(prefix, this->noting(std::move(done)));
}

void monitored_store::watch(std::string_view key, object_version after, helpers::duration max_wait,
                            std::function<void(read_result)> done) {
    ++this->counted.watches;
    this->inner.watch(key, after, max_wait, this->noting(std::move(done)));
}

void monitored_store::list_vms(std::function<void(vm_list_result)> done) {
    ++this->counted.vm_lists;
    this->inner.list_vms(this->noting(std::move(done)));
}

} // namespace samphirespool::store
