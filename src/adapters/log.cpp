#include "adapters/log.hpp"

#include <string>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace briarbarrow
{

namespace
{

// Replaces control characters and double quotes: a line break in a text would forge a log line, and
// a quote would end the event value early.
std::string sanitize_line(std::string_view text)
{
    std::string line(text);
    for (char& letter : line)
    {
        const bool control = static_cast<unsigned char>(letter) < ' ';
        letter = control ? ' ' : letter;
        letter = letter == '"' ? '\'' : letter;
    }
    return line;
}

} // namespace

void start_log(std::string_view program, std::string_view subject)
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    const std::string format =
        "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level program=" + sanitize_line(program) +
        " subject=" + sanitize_line(subject) + " event=\"%msg\"";
    settings.setGlobally(el::ConfigurationType::Format, format);
    el::Loggers::reconfigureAllLoggers(settings);
    el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
}

void log_info(std::string_view text)
{
    LOG(INFO) << sanitize_line(text);
}

void log_warning(std::string_view text)
{
    LOG(WARNING) << sanitize_line(text);
}

void log_error(std::string_view text)
{
    LOG(ERROR) << sanitize_line(text);
}

} // namespace briarbarrow
