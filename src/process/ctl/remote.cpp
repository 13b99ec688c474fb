#include "process/ctl/remote.h"

#include <fstream>  // ifstream
#include <iterator> // istreambuf_iterator

namespace hickorykeel::ctl {

namespace {

constexpr int first_failure_status = 300;

/// The message of a refusal, or its status alone.
std::string to_message(const admin_answer& answer)
{
    std::string status = "status " + std::to_string(answer.status);
    if (!answer.body.is_object() || !answer.body.contains("error")) {
        return status;
    }
    const auto& fault = answer.body.at("error");
    if (!fault.is_object()) {
        return status;
    }
    return status + ", " + fault.value("code", "?") + ": " + fault.value("message", "");
}

bool is_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    return colon != std::string::npos && colon > 0 && colon + 1 < text.size() &&
           text.size() - colon <= 6 &&
           text.find_first_not_of("0123456789", colon + 1) == std::string::npos;
}

} // namespace

remote_options::remote_options(TCLAP::CmdLine& line)
    : address{"a", "admin", "administration address of the process", true, "", "ip:port", line},
      key_file{"k", "admin-key-file", "file that holds the administration key", false, "", "FILE",
               line},
      is_json{"j", "json", "print the answer as JSON", line}
{
}

result<std::string> read_key(const std::string& path)
{
    std::ifstream file{path};
    std::string text{std::istreambuf_iterator<char>{file}, {}};
    constexpr const char* blanks = " \t\r\n";
    if (!file.is_open() || text.find_first_not_of(blanks) == std::string::npos) {
        return error{error_kind::settings_invalid, "read", path, "holds no key that can be read"};
    }
    text.erase(text.find_last_not_of(blanks) + 1);
    text.erase(0, text.find_first_not_of(blanks));
    return text;
}

exit_code check_answer(const std::string& address, const result<admin_answer>& answer,
                       std::ostream& err)
{
    if (const auto* failure = std::get_if<error>(&answer)) {
        err << failure->to_string() << '\n';
        return exit_code::unreachable;
    }
    const auto& given = std::get<admin_answer>(answer);
    if (given.status < first_failure_status) {
        return exit_code::ok;
    }
    err << "administer " << address << ": " << to_message(given) << '\n';
    const bool is_unauthorised = given.status == 401 || given.status == 403;
    return is_unauthorised ? exit_code::unauthorised : exit_code::refused;
}

std::variant<nlohmann::json, exit_code> ask(const remote_options& options, const admin_call& wanted,
                                            std::ostream& err)
{
    if (!is_address(options.address.getValue())) {
        err << "--admin " << options.address.getValue() << ": not ip:port\n";
        return exit_code::usage;
    }
    std::string key;
    if (options.key_file.isSet()) {
        auto read = read_key(options.key_file.getValue());
        if (const auto* failure = std::get_if<error>(&read)) {
            err << failure->to_string() << '\n';
            return exit_code::usage;
        }
        key = std::get<std::string>(read);
    }
    const auto answer = call(options.address.getValue(), key, wanted);
    const auto code = check_answer(options.address.getValue(), answer, err);
    if (code != exit_code::ok) {
        return code;
    }
    return std::get<admin_answer>(answer).body;
}

} // namespace hickorykeel::ctl
