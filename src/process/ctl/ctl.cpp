#include "process/ctl/ctl.h"

#include "process/build_info.h"
#include "process/ctl/publication.h"
#include "process/ctl/remote.h"
#include "process/ctl/table.h"

#include <algorithm>   // find_if
#include <array>       // array
#include <span>        // span
#include <string_view> // string_view

namespace hickorykeel::ctl {

namespace {

/// Where a command prints, and what its help says.
struct streams {
    std::ostream& out;
    std::ostream& err;
    std::string_view meaning;
};

using arguments_list = std::vector<std::string>;

/// Prints a command's help as a table of its options.
class help_printer : public TCLAP::StdOutput {
public:
    explicit help_printer(std::ostream& out) : m_out{out} {}

    void usage(TCLAP::CmdLineInterface& line) override
    {
        table options{{"OPTION", "MEANING"}};
        for (const auto* option : line.getArgList()) {
            if (option->getName() != TCLAP::Arg::ignoreNameString()) {
                options.add({option->longID(), option->getDescription()});
            }
        }
        m_out << line.getProgramName() << ": " << line.getMessage() << "\n\n"
              << options.to_string();
    }

    void version(TCLAP::CmdLineInterface& line) override
    {
        m_out << "hickorykeelctl " << line.getVersion() << '\n';
    }

private:
    std::ostream& m_out;
};

/// Parser of one command's options.
class command_line : public TCLAP::CmdLine {
public:
    explicit command_line(const streams& to)
        : TCLAP::CmdLine{std::string{to.meaning}, ' ', std::string{build_version()}}, m_printer{
                                                                                          to.out}
    {
        setExceptionHandling(false);
        setOutput(&m_printer);
    }

private:
    help_printer m_printer;
};

// --- what the answers look like ------------------------------------------------------------

constexpr std::array status_columns{
    column{"PROGRAM", "program"},
    column{"VERSION", "version"},
    column{"HOST", "host"},
    column{"FAILURE DOMAIN", "failure_domain"},
    column{"STATE", "state"},
    column{"REVISION", "revision"},
    column{"HOST LIST", "host_list_revision"},
    column{"RUNNING", "requests_running"},
    column{"WAITING", "requests_waiting"},
    column{"UP MS", "uptime_ms"},
};
constexpr std::array status_views{view{"", status_columns}};

constexpr std::array host_columns{
    column{"NAME", "name"},
    column{"FAILURE DOMAIN", "failure_domain"},
    column{"STATE", "state"},
    column{"CALLERS", "caller_address"},
    column{"ENTRY", "entry_address"},
    column{"DISPATCH", "dispatch_address"},
    column{"CONFIGD", "configd_address"},
    column{"HEARD MS AGO", "heard_ms_ago"},
};
constexpr std::array host_views{view{"hosts", host_columns}};

constexpr std::array limit_columns{
    column{"ACCOUNT", "account"}, column{"RATE", "rate"}, column{"CAPACITY", "capacity"},
    column{"LEVEL", "level"},     column{"LENT", "lent"}, column{"BORROWED", "borrowed"},
};
constexpr std::array limit_views{view{"accounts", limit_columns}};

constexpr std::array decision_columns{
    column{"DECISION", "decision"},
    column{"CODE", "code"},
    column{"MESSAGE", "message"},
    column{"REVISION", "revision"},
};
constexpr std::array step_columns{
    column{"STEP", "step"},
    column{"OUTCOME", "outcome"},
    column{"REASON", "reason"},
};
constexpr std::array need_columns{
    column{"ACCOUNT", "account"},
    column{"NEEDED", "needed"},
    column{"LEVEL", "level"},
};
constexpr std::array endpoint_columns{
    column{"ENDPOINT", "name"},
    column{"FAILURE DOMAIN", "failure_domain"},
    column{"ALLOWED", "is_allowed"},
    column{"REASON", "reason"},
};
constexpr std::array explain_views{
    view{"", decision_columns},
    view{"steps", step_columns},
    view{"accounts", need_columns},
    view{"endpoints", endpoint_columns},
};

constexpr std::array drain_columns{
    column{"STATE", "state"},
    column{"RUNNING", "requests_running"},
};
constexpr std::array drain_views{view{"", drain_columns}};

// --- the commands --------------------------------------------------------------------------

void print(const nlohmann::json& answer, bool is_json, std::span<const view> views,
           std::ostream& out)
{
    if (is_json) {
        out << answer.dump(2) << '\n';
        return;
    }
    bool is_first = true;
    for (const auto& shown : views) {
        const auto text = to_text(answer, shown);
        if (text.empty()) {
            continue;
        }
        out << (is_first ? "" : "\n") << text;
        is_first = false;
    }
}

exit_code ask_and_print(const remote_options& options, const admin_call& wanted,
                        std::span<const view> views, const streams& to)
{
    const auto outcome = ask(options, wanted, to.err);
    if (const auto* code = std::get_if<exit_code>(&outcome)) {
        return *code;
    }
    print(std::get<nlohmann::json>(outcome), options.is_json.getValue(), views, to.out);
    return exit_code::ok;
}

/// A command that is one call without parameters.
template <const known_admin_call& Call, const auto& Views>
exit_code run_call(arguments_list& arguments, const streams& to)
{
    command_line line{to};
    const remote_options options{line};
    line.parse(arguments);
    return ask_and_print(options, {Call.method, Call.path, ""}, Views, to);
}

exit_code run_validate(arguments_list& arguments, const streams& to)
{
    command_line line{to};
    TCLAP::UnlabeledValueArg<std::string> path{
        "file", "JSON object of keys and values", true, "", "FILE", line};
    TCLAP::SwitchArg is_json{"j", "json", "print the result as JSON", line};
    line.parse(arguments);
    const auto entries = read_entries(path.getValue());
    if (const auto* failure = std::get_if<error>(&entries)) {
        to.err << failure->to_string() << '\n';
        return exit_code::usage;
    }
    return validate(std::get<published_entries>(entries), is_json.getValue(), to.out);
}

exit_code run_diff(arguments_list& arguments, const streams& to)
{
    command_line line{to};
    TCLAP::UnlabeledValueArg<std::string> before{"old", "entries as they are", true, "", "OLD",
                                                 line};
    TCLAP::UnlabeledValueArg<std::string> after{"new", "entries as they shall be", true, "", "NEW",
                                                line};
    TCLAP::SwitchArg is_json{"j", "json", "print the changes as JSON", line};
    line.parse(arguments);
    const auto old_entries = read_entries(before.getValue());
    const auto new_entries = read_entries(after.getValue());
    for (const auto* entries : {&old_entries, &new_entries}) {
        if (const auto* failure = std::get_if<error>(entries)) {
            to.err << failure->to_string() << '\n';
            return exit_code::usage;
        }
    }
    return print_diff(std::get<published_entries>(old_entries),
                      std::get<published_entries>(new_entries), is_json.getValue(), to.out, to.err);
}

std::string to_explain_path(const std::string& caller, const std::string& profile,
                            const std::string& target, std::uint64_t tokens)
{
    return std::string{explain_call.path} + '?' + caller + "&profile=" + to_query_value(profile) +
           "&target=" + to_query_value(target) + "&tokens=" + std::to_string(tokens);
}

exit_code run_explain(arguments_list& arguments, const streams& to)
{
    command_line line{to};
    const remote_options options{line};
    TCLAP::ValueArg<std::string> key{"",   "key-file", "file that holds the caller's key",
                                     true, "",         "FILE"};
    TCLAP::ValueArg<std::string> organisation{
        "o", "organisation", "organisation of the caller", true, "", "NAME"};
    TCLAP::ValueArg<std::string> profile{"p",    "profile", "profile it names", true, "",
                                         "NAME", line};
    TCLAP::ValueArg<std::string> target{"t",    "target", "model or service it names", true, "",
                                        "NAME", line};
    TCLAP::ValueArg<std::uint64_t> tokens{"n", "tokens", "tokens it needs", false, 1, "N", line};
    line.xorAdd(key, organisation);
    line.parse(arguments);
    auto caller = "organisation=" + to_query_value(organisation.getValue());
    if (key.isSet()) {
        const auto read = read_key(key.getValue());
        if (const auto* failure = std::get_if<error>(&read)) {
            to.err << failure->to_string() << '\n';
            return exit_code::usage;
        }
        // the key itself stays here
        caller = "key_digest=" + to_key_digest(std::get<std::string>(read));
    }
    const auto path =
        to_explain_path(caller, profile.getValue(), target.getValue(), tokens.getValue());
    return ask_and_print(options, {admin_method::get, path, ""}, explain_views, to);
}

struct command {
    std::string_view name;
    std::string_view help;
    exit_code (*run)(arguments_list&, const streams&);
};

constexpr std::array commands{
    command{"validate", "check a file of entries as every process does", run_validate},
    command{"diff", "what a new file of entries changes", run_diff},
    command{"status", "state of a process", run_call<status_call, status_views>},
    command{"hosts", "hosts as a process sees them", run_call<hosts_call, host_views>},
    command{"limits", "accounts and levels at a process", run_call<limits_call, limit_views>},
    command{"explain", "what would become of a request, and why", run_explain},
    command{"drain", "have a process end gracefully", run_call<drain_call, drain_views>},
};

void print_usage(std::ostream& to)
{
    to << "hickorykeelctl COMMAND [options]; COMMAND --help tells the options\n\n";
    table shown{{"COMMAND", "MEANING"}};
    for (const auto& row : commands) {
        shown.add({std::string{row.name}, std::string{row.help}});
    }
    to << shown.to_string()
       << "\nexit codes: 0 done, 1 refused or faults found, 2 wrong usage, 3 unreachable, "
          "4 unauthorised\n";
}

exit_code run_command(const command& chosen, arguments_list arguments, const streams& to)
{
    // the parser takes the name away
    const std::string program = "hickorykeelctl " + std::string{chosen.name};
    arguments.front() = program;
    try {
        return chosen.run(arguments, to);
    }
    catch (const TCLAP::ArgException& fault) {
        // a missing argument's name is part of the error, and then this is a blank
        const bool is_named = fault.argId().size() > 1;
        to.err << program << ": " << fault.error() << (is_named ? ", " + fault.argId() : "") << " ("
               << program << " --help tells the options)\n";
        return exit_code::usage;
    }
    catch (const TCLAP::ExitException& done) {
        return done.getExitStatus() == 0 ? exit_code::ok : exit_code::usage;
    }
}

} // namespace

exit_code run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
{
    const std::string name = arguments.size() > 1 ? arguments[1] : "";
    if (name == "--help" || name == "-h") {
        print_usage(out);
        return exit_code::ok;
    }
    if (name == "--version") {
        out << "hickorykeelctl " << build_version() << '\n';
        return exit_code::ok;
    }
    const auto* const chosen = std::find_if(commands.begin(), commands.end(),
                                            [&](const command& row) { return row.name == name; });
    if (chosen == commands.end()) {
        if (!name.empty()) {
            err << "hickorykeelctl: no command " << name << "\n\n";
        }
        print_usage(err);
        return exit_code::usage;
    }
    return run_command(*chosen, {arguments.begin() + 1, arguments.end()}, {out, err, chosen->help});
}

} // namespace hickorykeel::ctl
