// The rules of model/claims.pml, checked on every update of a head object that took effect in a
// run of the real code.
#pragma once

#include "claims/claim_record.hpp"
#include "tests/store/fake_object_store.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace samphirespool::tests {

class journal_rules {
public:
    explicit journal_rules(shared_store& shared) : shared(shared) {
        shared.on_update = [this](std::string_view key, const std::string& value) {
            if (key.ends_with("/head"))
                this->check(key, value);
        };
    }

    // Requests whose router released the claim or gave up.
    std::set<helpers::request_id> given_back;

    const std::vector<std::string>& broken() const { return this->faults; }
    std::size_t updates() const { return this->writers.size(); }

private:
    using record_table = std::map<claims::claim_key, claims::claim_record>;
    struct shard_state {
        claims::journal_head head;
        record_table records;
    };

    void check(std::string_view key, const std::string& value) {
        const auto head = claims::parse_head(value);
        if (!head) {
            this->faults.push_back("a head does not parse");
            return;
        }
        auto& before = this->shards[std::string(key)];
        auto after = this->table_of(key, *head);
        this->require(head->floor >= before.head.floor, "the floor went back");
        this->require(head->next_order >= before.head.next_order, "the order went back");
        this->require(this->writers.emplace(head->writer, head->nonce, std::string(key)).second,
                      "a writer repeated a nonce");
        for (const auto& [name, record] : before.records)
            this->check_change(record, after, *head);
        for (const auto& [name, record] : after)
            if (!before.records.contains(name))
                this->require(record.state == claims::claim_state::claimed &&
                                  record.date > before.head.floor,
                              "a new record is no claim above the floor");
        before = {*head, std::move(after)};
    }

    // FILES and NO_FLOOR: a record goes only below the floor, and only its own claimer changes it.
    void check_change(const claims::claim_record& old, const record_table& after,
                      const claims::journal_head& head) {
        const auto found = after.find(old.key);
        if (found == after.end()) {
            this->require(old.date <= head.floor, "a record was forgotten above the floor");
            return;
        }
        const auto& now = found->second;
        if (now == old)
            return;
        // One update may hold several changes of a key, so a claim may be given back and taken
        // again in it; only the router that claimed may have given it back.
        const auto was_given_back = this->given_back.contains(old.request);
        const auto was_claimed = old.state == claims::claim_state::claimed;
        const auto is_settled = now.request == old.request && was_claimed &&
                                (now.state == claims::claim_state::executed || was_given_back);
        const auto is_taken_again = now.request != old.request && was_given_back &&
                                    (was_claimed || old.state == claims::claim_state::released);
        this->require(is_settled || is_taken_again, "a record changed against the rules");
    }

    record_table table_of(std::string_view key, const claims::journal_head& head) {
        record_table result;
        const auto add = [&result, &head](const claims::claim_record& record) {
            const auto [at, added] = result.try_emplace(record.key, record);
            if (!added && at->second.order < record.order)
                at->second = record;
            if (record.date <= head.floor)
                result.erase(record.key);
        };
        const auto prefix = std::string(key.substr(0, key.rfind('/'))) + "/snapshot/";
        for (const auto& snapshot : head.snapshots) {
            auto& records = this->snapshots[prefix + snapshot.name];
            if (records.empty()) {
                const auto parsed =
                    claims::parse_records(this->shared.find(prefix + snapshot.name).entry.value);
                this->require(parsed.has_value(), "a named snapshot is not there");
                records = parsed.value_or(records);
            }
            for (const auto& record : records)
                add(record);
        }
        for (const auto& record : head.recent)
            add(record);
        return result;
    }

    void require(bool holds, const char* rule) {
        if (!holds)
            this->faults.emplace_back(rule);
    }

    shared_store& shared;
    std::map<std::string, shard_state> shards;
    std::map<std::string, std::vector<claims::claim_record>> snapshots;
    std::set<std::tuple<std::string, std::uint64_t, std::string>> writers;
    std::vector<std::string> faults;
};

} // namespace samphirespool::tests
