// What gateways tell each other about the operator's configuration beside the feed: which version
// is in force. A store that has come back from an older copy states an earlier one until the
// operator writes again, and a gateway that starts in the meantime learns the later one from its
// peers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace samphirespool::exchange {

class configuration_channel {
public:
    virtual ~configuration_channel() = default;

    // 0 until a configuration was read.
    virtual std::uint64_t version_in_force() const = 0;
    // The content of its object.
    virtual std::string_view content_in_force() const = 0;
    // Takes the content into force if its version is later.
    virtual void offer(std::string_view content) = 0;

    // Longer contents are not sent: the message would exceed the frame.
    static constexpr std::size_t max_content = std::size_t{512} << 10;
};

} // namespace samphirespool::exchange
