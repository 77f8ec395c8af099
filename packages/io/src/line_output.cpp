#include "citronwick/io/line_output.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

namespace citronwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Errors after which the same bytes may be accepted later.
bool is_temporary(int error) {
    constexpr std::array temporary{EAGAIN, EINTR, ENOSPC, EDQUOT};
    return std::ranges::find(temporary, error) != temporary.end();
}

bool has_type(int descriptor, mode_t type) {
    struct stat status{};
    return ::fstat(descriptor, &status) == 0 && (status.st_mode & S_IFMT) == type;
}

/// Opens a pipe or terminal once more. O_NONBLOCK on `descriptor` itself would also
/// hold for the other processes that share it.
int open_again(int descriptor) {
    if (!has_type(descriptor, S_IFIFO) && !has_type(descriptor, S_IFCHR)) {
        return -1;
    }
    const std::string path = "/proc/self/fd/" + std::to_string(descriptor);
    return ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
}

} // namespace

line_output::line_output(int descriptor, std::size_t capacity)
    : descriptor_{descriptor}, own_descriptor_{open_again(descriptor)},
      is_file_{has_type(descriptor, S_IFREG)}, capacity_{capacity} {}

line_output::~line_output() {
    if (own_descriptor_ >= 0) {
        ::close(own_descriptor_);
    }
}

void line_output::add(std::string_view lines) {
    pending_ += lines;
    if (pending_.size() > capacity_) {
        drop_oldest(pending_.size() - capacity_ / 2);
    }
    pending_bytes_ = pending_.size();
}

void line_output::write_ready() {
    while (!pending_.empty() && write_some() == write_result::progress) {
    }
    pending_bytes_ = pending_.size();
}

bool line_output::finish(milliseconds limit) {
    const auto deadline = steady_clock::now() + limit;
    while (!pending_.empty()) {
        const auto result = write_some();
        const auto now = steady_clock::now();
        if (result == write_result::failed || now >= deadline) {
            break;
        }
        if (result == write_result::reader_busy) {
            can_write(std::chrono::ceil<milliseconds>(deadline - now));
        }
    }
    pending_bytes_ = pending_.size();
    return pending_.empty();
}

line_output::write_result line_output::write_some() {
    const bool may_block = own_descriptor_ < 0 && !is_file_;
    if (may_block && !can_write(milliseconds{0})) {
        return write_result::reader_busy;
    }
    const std::size_t size = next_size();
    const auto written = ::write(own_descriptor_ < 0 ? descriptor_ : own_descriptor_, pending_.data(), size);
    if (written > 0) {
        remove_written(static_cast<std::size_t>(written));
        return write_result::progress;
    }
    if (written < 0 && errno == EAGAIN) {
        return write_result::reader_busy;
    }
    if (written < 0 && !is_temporary(errno)) {
        drop_oldest(pending_.size());
    }
    return write_result::failed;
}

/// A write of up to PIPE_BUF bytes does not block after poll() reported a pipe as
/// writable. Errors count as writable, for the write to report them.
bool line_output::can_write(milliseconds limit) const {
    pollfd output{.fd = descriptor_, .events = POLLOUT, .revents = 0};
    return ::poll(&output, 1, static_cast<int>(limit.count())) > 0;
}

/// Size of the next write: complete lines where possible, so that those of other
/// writers do not get into them.
std::size_t line_output::next_size() const {
    if (is_file_ || pending_.size() <= PIPE_BUF) {
        return pending_.size();
    }
    const auto line_end = pending_.rfind('\n', PIPE_BUF - 1);
    return line_end == std::string::npos ? PIPE_BUF : line_end + 1;
}

void line_output::remove_written(std::size_t size) {
    inside_line_ = pending_[size - 1] != '\n';
    pending_.erase(0, size);
}

/// Drops whole lines of at least `size` bytes. The rest of a line whose beginning has
/// been written is kept.
void line_output::drop_oldest(std::size_t size) {
    const std::size_t first = inside_line_ ? pending_.find('\n') + 1 : 0;
    const auto line_end = pending_.find('\n', std::min(first + size, pending_.size()) - 1);
    const std::size_t last = line_end == std::string::npos ? pending_.size() : line_end + 1;
    const auto dropped = std::count(pending_.begin() + static_cast<std::ptrdiff_t>(first),
                                    pending_.begin() + static_cast<std::ptrdiff_t>(last), '\n');
    dropped_lines_ += static_cast<std::size_t>(dropped);
    pending_.erase(first, last - first);
}

} // namespace citronwick
