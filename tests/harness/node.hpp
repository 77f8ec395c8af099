#ifndef CITRONWICK_TESTS_HARNESS_NODE_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_NODE_HPP_INCLUDED

#include "child_process.hpp"
#include "citronwick/core/endpoint.hpp"

#include <boost/json/object.hpp>
#include <memory>
#include <string>
#include <vector>

namespace citronwick::harness {

/// A process of the fleet and the addresses on which it listens.
struct node {
    std::string name;
    std::string failure_domain;
    std::string log;
    std::unique_ptr<child_process> process;
    std::vector<endpoint> addresses;
    std::unique_ptr<node> proxy{}; ///< fault proxy in front of the process, if any
    bool leaving = false;
    std::string program{};        ///< path, empty for the program under test
    std::string source_address{}; ///< of outbound connections, empty for any

    /// The address to connect to: that of the proxy if there is one.
    endpoint address() const;
};

/// Creates a new temporary directory.
std::string make_directory();

/// Waits until a process has written its port file, and reads its addresses from it.
/// @throws std::runtime_error if the process exits first or the wait times out
void await_addresses(node& target, const std::string& port_file);

/// Reads the addresses in a port file; there are none if it does not exist.
std::vector<endpoint> read_port_file(const std::string& file);

/// Sends a JSON body by POST.
/// @return the JSON object of the response, empty if it is not one
boost::json::object post_json(const endpoint& peer, const std::string& target, const std::string& body);

/// Starts a stand-in whose log and port file are in `directory`.
/// @param arguments further command-line arguments
node start_standin_in(const std::string& directory, const std::string& kind, const std::string& name,
                      const std::vector<std::string>& arguments);

/// Sets the address to which a proxy forwards: the last one of `target`.
void set_proxy_target(const node& proxy, const node& target);

/// Lines of a process's log that contain `text`.
std::vector<std::string> find_log_lines(const node& source, const std::string& text);

/// Exit code and output of a command; the exit code is -1 if it timed out.
struct command_result {
    int exit = -1;
    std::string output;
};

/// Runs citronctl and waits for it.
/// @param log file that receives its output
command_result run_citronctl(std::vector<std::string> arguments, const std::string& log);

/// Replaces the active faults of a stand-in.
void set_fault(const node& target, const std::string& json);

/// Replaces the active faults of the proxy in front of a node.
void set_proxy_fault(const node& target, const std::string& json);

/// Counters of a stand-in.
boost::json::object stats(const node& target);

/// Path of a program under test.
std::string binary_path(const std::string& name);

} // namespace citronwick::harness

#endif
