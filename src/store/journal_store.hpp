// Adapter that gives the journals of claims access to the object store.
#pragma once

#include "claims/claim_network.hpp"
#include "store/object_store.hpp"

namespace samphirespool::store {

class journal_store final : public claims::journal_objects {
public:
    explicit journal_store(object_store& objects) : objects(objects) {}
    void read(std::string_view key, std::function<void(claims::object_reply)> callback) override;
    void write(std::string_view key, std::uint64_t expected, std::string value,
               std::function<void(claims::object_reply)> callback) override;
    void remove(std::string_view key, std::uint64_t version) override;

private:
    object_store& objects;
};

} // namespace samphirespool::store
