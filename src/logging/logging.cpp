#include "plumspoke/logging/logging.hpp"

INITIALIZE_EASYLOGGINGPP

namespace plumspoke::logging
{

void start(bool verbose)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, verbose ? "true" : "false");
    el::Loggers::reconfigureAllLoggers(configuration);
}

} // namespace plumspoke::logging
