#include "citronwick/io/line_output.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t capacity = std::size_t{256} * 1'024;

/// A pipe whose ends are closed with the object.
struct test_pipe {
    test_pipe() { REQUIRE(::pipe2(ends.data(), O_CLOEXEC) == 0); }
    test_pipe(const test_pipe&) = delete;
    test_pipe& operator=(const test_pipe&) = delete;
    ~test_pipe() {
        close_reader();
        ::close(ends[1]);
    }
    void close_reader() {
        if (ends[0] >= 0) {
            ::close(ends[0]);
        }
        ends[0] = -1;
    }
    std::string read_some() const {
        std::string text(64UL * 1'024, '\0');
        const auto size = ::read(ends[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

    std::array<int, 2> ends{-1, -1};
};

std::string numbered_line(int number) {
    return "line " + std::to_string(number) + " " + std::string(100, 'x') + "\n";
}

} // namespace

// Guards against a process that waits for the reader of its output (FAULT).
TEST_CASE("lines that a reader does not take are kept, then the oldest are dropped and counted") {
    const test_pipe pipe;
    line_output output{pipe.ends[1], capacity};
    constexpr int lines = 10'000;
    for (int number = 0; number < lines; ++number) {
        output.add(numbered_line(number));
        output.write_ready();
    }
    CHECK((::fcntl(pipe.ends[1], F_GETFL) & O_NONBLOCK) == 0);
    CHECK_FALSE(output.finish(50ms));
    CHECK(output.dropped_lines() > 0);

    std::string received = pipe.read_some();
    while (!output.finish(0ms)) {
        received += pipe.read_some();
    }
    received += pipe.read_some();
    CHECK(received.starts_with("line 0 "));
    CHECK(received.ends_with(numbered_line(lines - 1)));
    const auto line_bytes = numbered_line(lines - 1).size();
    const auto count = static_cast<std::size_t>(std::count(received.begin(), received.end(), '\n'));
    CHECK(count + output.dropped_lines() == lines);
    CHECK(received.size() <= count * line_bytes);
}

TEST_CASE("lines for an output that fails are dropped and counted") {
    ::signal(SIGPIPE, SIG_IGN);
    test_pipe pipe;
    line_output before{pipe.ends[1], capacity};
    pipe.close_reader();
    line_output after{pipe.ends[1], capacity};
    const int closed_descriptor = ::dup(pipe.ends[1]);
    ::close(closed_descriptor);
    line_output closed{closed_descriptor, capacity};
    for (line_output* const output : {&before, &after, &closed}) {
        output->add("one\ntwo\n");
        output->write_ready();
        CHECK(output->dropped_lines() == 2);
        CHECK(output->finish(0ms));
    }
}

TEST_CASE("lines are kept while a file system has no space") {
    const int full = ::open("/dev/full", O_WRONLY | O_CLOEXEC);
    REQUIRE(full >= 0);
    line_output output{full, capacity};
    output.add("one\n");
    output.write_ready();
    CHECK(output.dropped_lines() == 0);
    CHECK_FALSE(output.finish(1s));
    ::close(full);
}

TEST_CASE("lines are appended to a file at once") {
    std::string name = "/tmp/citronwick-lines-XXXXXX";
    const int file = ::mkstemp(name.data());
    REQUIRE(file >= 0);
    line_output output{file, capacity};
    output.add("one\n");
    output.add("two\n");
    output.write_ready();
    std::array<char, 16> content{};
    CHECK(::pread(file, content.data(), content.size(), 0) == 8);
    CHECK(std::string{content.data()} == "one\ntwo\n");
    ::close(file);
    ::unlink(name.c_str());
}
