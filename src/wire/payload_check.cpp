// Maps frame kinds to the verifiers of their root tables.
#include "wire/payload_check.hpp"

#include "wire/frame_codec.hpp"
#include "wire/generated/hello_generated.h"
#include "wire/generated/membership_generated.h"
#include "wire/generated/shares_generated.h"

#include <array>
#include <cstddef>

namespace samphirespool::wire {

namespace {

using check = bool (*)(flatbuffers::Verifier&);

struct kind_check {
    frame_kind kind;
    check verify;
};

constexpr std::array checks = {
    kind_check{hello_kind, [](flatbuffers::Verifier& v) { return fb::VerifyhelloBuffer(v); }},
    kind_check{frame_kind::membership,
               [](flatbuffers::Verifier& v) { return fb::Verifymembership_messageBuffer(v); }},
    kind_check{frame_kind::shares,
               [](flatbuffers::Verifier& v) { return fb::Verifyshare_messageBuffer(v); }},
};

} // namespace

bool payload_is_valid(frame_kind kind, std::span<const std::uint8_t> payload) {
    for (const auto& entry : checks) {
        if (entry.kind != kind)
            continue;
        flatbuffers::Verifier verifier(payload.data(), payload.size());
        return entry.verify(verifier);
    }
    return true;
}

} // namespace samphirespool::wire
