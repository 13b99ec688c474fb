#include "gateway/configuration/relay_codec.h"

#include "generated/relay.pb.h"

#include <optional> // optional
#include <utility>  // move

#include <zlib.h> // compress2, inflate

namespace hickorykeel::gateway {

namespace {

constexpr int compression_level = 1; // items of one kind are alike: higher levels gain little
constexpr std::size_t inflate_step = 65'536;

std::string compress(const std::string& bytes)
{
    uLongf size = compressBound(static_cast<uLong>(bytes.size()));
    std::string compressed(size, '\0');
    // can't fail: the buffer is large enough, and the level is valid
    compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
              reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uLong>(bytes.size()),
              compression_level);
    compressed.resize(size);
    return compressed;
}

/// A decompressing stream, ended with its scope.
class inflater {
public:
    explicit inflater(std::string_view bytes)
    {
        m_stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data())); // only read
        m_stream.avail_in = static_cast<uInt>(bytes.size());
        m_is_open = inflateInit(&m_stream) == Z_OK;
    }
    inflater(const inflater&) = delete;
    inflater& operator=(const inflater&) = delete;
    inflater(inflater&&) = delete;
    inflater& operator=(inflater&&) = delete;
    ~inflater() { inflateEnd(&m_stream); }

    /// Appends up to `inflate_step` bytes to `output` and returns zlib's status.
    int append(std::string& output)
    {
        if (!m_is_open) {
            return Z_STREAM_ERROR;
        }
        const std::size_t before = output.size();
        output.resize(before + inflate_step);
        m_stream.next_out = reinterpret_cast<Bytef*>(output.data() + before);
        m_stream.avail_out = static_cast<uInt>(inflate_step);
        const int status = inflate(&m_stream, Z_NO_FLUSH);
        output.resize(output.size() - m_stream.avail_out);
        return status;
    }

private:
    z_stream m_stream{};
    bool m_is_open = false;
};

std::optional<std::string> decompress(std::string_view bytes)
{
    std::string output;
    inflater input{bytes};
    while (output.size() <= max_relayed_bytes) {
        const int status = input.append(output);
        if (status == Z_STREAM_END) {
            return output;
        }
        if (status != Z_OK) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

error invalid(std::string_view peer, std::string message)
{
    return {error_kind::platform_answer_invalid, "decode the relayed state", std::string{peer},
            std::move(message)};
}

} // namespace

std::string encode_changes(const published_changes& changes)
{
    relay::changes message;
    message.set_since_era(changes.since.era);
    message.set_since(changes.since.revision);
    message.set_era(changes.position.era);
    message.set_revision(changes.position.revision);
    for (const published_item& item : changes.items) {
        auto& added = *message.add_items();
        added.set_key(item.key);
        added.set_value(item.value);
        added.set_era(item.position.era);
        added.set_revision(item.position.revision);
        added.set_is_deleted(item.is_deleted);
    }
    return compress(message.SerializeAsString());
}

result<published_changes> decode_changes(std::string_view bytes, std::string_view peer)
{
    const auto text = decompress(bytes);
    if (!text) {
        return invalid(peer, "not a compressed message, or too large");
    }
    relay::changes message;
    if (!message.ParseFromString(*text)) {
        return invalid(peer, "not a message of changes");
    }
    published_changes changes{
        {message.since_era(), message.since()}, {message.era(), message.revision()}, {}};
    changes.items.reserve(static_cast<std::size_t>(message.items_size()));
    for (relay::item& item : *message.mutable_items()) {
        changes.items.push_back({std::move(*item.mutable_key()),
                                 std::move(*item.mutable_value()),
                                 {item.era(), item.revision()},
                                 item.is_deleted()});
    }
    return changes;
}

} // namespace hickorykeel::gateway
