#ifndef CITRONWICK_TESTS_HARNESS_NODE_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_NODE_HPP_INCLUDED

#include "child_process.hpp"
#include "citronwick/core/endpoint.hpp"

#include <boost/json/object.hpp>
#include <memory>
#include <string>
#include <vector>

namespace citronwick::harness {

/// A process of the fleet with the addresses that it bound.
struct node {
    std::string name;
    std::string failure_domain;
    std::string log;
    std::unique_ptr<child_process> process;
    std::vector<endpoint> addresses;
    std::unique_ptr<node> proxy{}; ///< fault proxy in front of it
    bool leaving = false;

    /// Address for others: the proxy's where there is one.
    endpoint address() const;
};

/// Makes a temporary folder of its own.
std::string make_directory();

/// Waits until a process has written the addresses that it bound.
void await_addresses(node& target, const std::string& port_file);

/// Posts a JSON text.
/// @return the answer, empty where it is no JSON object
boost::json::object post_json(const endpoint& peer, const std::string& target, const std::string& body);

/// Starts a stand-in in a folder.
/// @param arguments of the stand-in's command
node start_standin_in(const std::string& directory, const std::string& kind, const std::string& name,
                      const std::vector<std::string>& arguments);

/// Makes a proxy forward to a node's address.
void set_proxy_target(const node& proxy, const node& target);

/// Lines of a process's log that hold a text.
std::vector<std::string> lines_with(const node& source, const std::string& text);

/// Outcome of a command.
struct command_result {
    int exit = -1;
    std::string output;
};

/// Runs citronctl to its end.
/// @param log file that takes its output
command_result run_citronctl(std::vector<std::string> arguments, const std::string& log);

/// Sets the faults of a stand-in, replacing those in force.
void set_fault(const node& target, const std::string& json);

/// Sets the faults of the proxy in front of a node.
void set_proxy_fault(const node& target, const std::string& json);

/// Figures that a stand-in counts.
boost::json::object stats(const node& target);

/// Folder of the programs under test.
std::string binary(const std::string& name);

} // namespace citronwick::harness

#endif
