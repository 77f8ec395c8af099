#ifndef CITRONWICK_IO_LINE_OUTPUT_HPP_INCLUDED
#define CITRONWICK_IO_LINE_OUTPUT_HPP_INCLUDED

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace citronwick {

/// Writes lines to a file descriptor without waiting for its reader. Lines that the
/// reader does not take are kept up to a capacity; then the oldest are dropped.
class line_output {
public:
    /// @param descriptor file, pipe, terminal or socket; its flags are not changed
    /// @param capacity bytes that are kept for the reader
    line_output(int descriptor, std::size_t capacity);
    line_output(const line_output&) = delete;
    line_output& operator=(const line_output&) = delete;
    ~line_output();

    /// Appends one or more complete lines, without writing them.
    void add(std::string_view lines);

    /// Writes as much as the reader takes without waiting.
    void write_ready();

    /// Writes the remaining lines. Waits for the reader for no longer than `limit`.
    /// @return whether nothing remains
    bool finish(std::chrono::milliseconds limit);

    /// Number of lines dropped. May be called on any thread.
    std::size_t dropped_lines() const { return dropped_lines_.load(std::memory_order_relaxed); }

    /// Whether more than half of the capacity is in use. May be called on any thread.
    bool is_crowded() const { return pending_bytes_.load(std::memory_order_relaxed) > capacity_ / 2; }

private:
    enum class write_result : std::uint8_t { progress, reader_busy, failed };

    write_result write_some();
    bool can_write(std::chrono::milliseconds limit) const;
    std::size_t next_size() const;
    void remove_written(std::size_t size);
    void drop_oldest(std::size_t size);

    int descriptor_;
    int own_descriptor_ = -1; ///< non-blocking open file description of the same output
    bool is_file_ = false;
    std::size_t capacity_;
    std::string pending_;
    bool inside_line_ = false; ///< the beginning of the first pending line has been written
    std::atomic<std::size_t> pending_bytes_{0};
    std::atomic<std::size_t> dropped_lines_{0};
};

} // namespace citronwick

#endif
