// An object store that forwards calls to another one and counts reads, writes and written bytes.
#pragma once

#include "store/object_store.hpp"

#include <utility>

namespace samphirespool::bench {

struct store_usage {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t bytes_written = 0;
};

class counting_store final : public store::object_store {
public:
    explicit counting_store(store::object_store& inner) : inner(inner) {}

    void read(std::string_view key, std::function<void(store::read_result)> done) override {
        ++this->usage.reads;
        this->inner.read(key, std::move(done));
    }
    void write(std::string_view key, store::object_version expected, std::string value,
               std::function<void(store::write_result)> done) override {
        ++this->usage.writes;
        this->usage.bytes_written += value.size();
        this->inner.write(key, expected, std::move(value), std::move(done));
    }
    void remove(std::string_view key, store::object_version expected,
                std::function<void(store::write_result)> done) override {
        ++this->usage.writes;
        this->inner.remove(key, expected, std::move(done));
    }
    void list(std::string_view prefix, std::function<void(store::list_result)> done) override {
        this->inner.list(prefix, std::move(done));
    }
    void watch(std::string_view key, store::object_version after, helpers::duration max_wait,
               std::function<void(store::read_result)> done) override {
        this->inner.watch(key, after, max_wait, std::move(done));
    }
    void list_vms(std::function<void(store::vm_list_result)> done) override {
        this->inner.list_vms(std::move(done));
    }

    store_usage usage;

private:
    store::object_store& inner;
};

} // namespace samphirespool::bench
