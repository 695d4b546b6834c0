// One accepted version of the configuration together with the root object that holds it, and the
// pure evaluation of a change against it.
#pragma once

#include "config/configuration_service.hpp"
#include "config/provisional_marks.hpp"
#include "config/stored_root.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphirespool::config {

struct configuration_state {
    // Invariant: equals the store's root object of this version.
    stored_root root;
    // Version of the root object in the store; 0 if it was learnt from a peer and never read.
    std::uint64_t object_version = 0;
    // Invariant: what root and its chunks say.
    std::shared_ptr<const fleet_configuration> accepted;
};

// The state before any change was accepted.
configuration_state initial_state();

// The documents of one chunk.
document_set chunk_documents(const fleet_configuration& configuration, std::size_t index);

struct chunk_text {
    std::size_t index = 0;
    std::string text;
};

// Builds the state of a root from the texts of the chunks in which it differs from `before`.
// Returns nothing if a text is malformed or the result breaks a rule that every accepted
// configuration keeps.
std::optional<configuration_state> assemble(const configuration_state& before,
                                            const stored_root& root, std::uint64_t object_version,
                                            const std::vector<chunk_text>& changed);

// Indices of the chunks whose names differ between the roots.
std::vector<std::size_t> changed_chunks(const stored_root& before, const stored_root& after);

struct chunk_write {
    std::string key;
    std::string value;
};

// What a change means for a state: the answer, or else the objects to write.
struct change_plan {
    std::optional<change_result> answer;
    configuration_state next;
    std::vector<chunk_write> chunks;
    std::string root_value;
};

// Names the writer's next update.
struct writer_stamp {
    std::string writer;
    std::uint64_t nonce = 0;
    helpers::wall_milliseconds now = 0;
};

change_plan plan_change(const configuration_state& state, const change_request& wanted,
                        const provisional_marks& known, const writer_stamp& stamp);

// The leave mark that the change sets, if it is one.
std::optional<provisional_mark> as_provisional_mark(const change_request& wanted,
                                                    helpers::wall_milliseconds now);

} // namespace samphirespool::config
