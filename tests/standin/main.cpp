// magnolia-standin: simulates one external component of the system in its own process, for tests and benchmarks.
#include "standin/configurationrole.h"
#include "standin/enginerole.h"
#include "standin/instancesrole.h"
#include "standin/server.h"
#include "standin/servicerole.h"
#include "standin/weightsrole.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <memory>

namespace
{

using namespace magnolia;
using namespace magnolia::standin;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("magnolia-standin", "Simulates one external component of magnoliastream.");
    auto add = options.add_options();
    add("role", "engine, service, configuration, instances or weights", cxxopts::value<std::string>());
    add("listen", "Address to listen on, ip:port; port 0 selects a free port", cxxopts::value<std::string>());
    add("id", "Name of this instance", cxxopts::value<std::string>()->default_value("standin"));
    add("publish", "JSON file with the initial content to publish", cxxopts::value<std::string>());
    add("memory-tokens", "KV memory of an engine, in tokens",
        cxxopts::value<std::uint64_t>()->default_value("4000000"));
    add("token-interval-ms", "Time between generated tokens", cxxopts::value<std::int64_t>()->default_value("20"));
    add("prefill-tokens-per-s", "Prefill speed", cxxopts::value<std::int64_t>()->default_value("100000"));
    add("load-lag-ms", "Time between load samples", cxxopts::value<std::int64_t>()->default_value("200"));
    add("cache-event-delay-ms", "Time until a cache event becomes visible",
        cxxopts::value<std::int64_t>()->default_value("1000"));
    add("model-load-ms", "Time to load a model", cxxopts::value<std::int64_t>()->default_value("500"));
    add("model", "Model that an engine serves at the start", cxxopts::value<std::string>()->default_value("m-large"));
    add("checks-fencing", "Refuse orders whose fencing number is below the highest one seen");
    add("work-ms", "Duration of a call to a plain service", cxxopts::value<std::int64_t>()->default_value("5"));
    add("list-lag-ms", "Time until a published list of instances becomes visible",
        cxxopts::value<std::int64_t>()->default_value("0"));
    add("rate-per-s", "Maximum read rate of the weight store", cxxopts::value<double>()->default_value("5"));
    add("help", "Print this help");
    return options;
}

EngineOptions engineOptions(const cxxopts::ParseResult &args)
{
    EngineOptions options;
    options.kvCapacityTokens = args["memory-tokens"].as<std::uint64_t>();
    options.loadSampleInterval = Milliseconds(args["load-lag-ms"].as<std::int64_t>());
    options.cacheEventDelay = Milliseconds(args["cache-event-delay-ms"].as<std::int64_t>());
    options.modelLoadTime = Milliseconds(args["model-load-ms"].as<std::int64_t>());
    options.checksFencing = args.count("checks-fencing") > 0;
    options.model = args["model"].as<std::string>();
    return options;
}

std::unique_ptr<IRole> makeRole(const cxxopts::ParseResult &args, Faults &faults)
{
    const auto role = args["role"].as<std::string>();
    if (role == "engine") {
        faults.tokenIntervalMs = args["token-interval-ms"].as<std::int64_t>();
        faults.prefillTokensPerSecond = args["prefill-tokens-per-s"].as<std::int64_t>();
        return std::make_unique<EngineRole>(engineOptions(args), faults);
    }
    if (role == "service") {
        return std::make_unique<ServiceRole>(Milliseconds(args["work-ms"].as<std::int64_t>()));
    }
    if (role == "configuration") {
        return std::make_unique<ConfigurationRole>();
    }
    if (role == "instances") {
        return std::make_unique<InstancesRole>(Milliseconds(args["list-lag-ms"].as<std::int64_t>()));
    }
    if (role == "weights") {
        return std::make_unique<WeightsRole>(args["rate-per-s"].as<double>());
    }
    throw std::invalid_argument("unknown role " + role);
}

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const cxxopts::ParseResult &args)
{
    // New threads inherit the signal mask, so the signals are blocked before any thread starts and only sigwait()
    // receives them.
    const sigset_t signals = blockStopSignals();
    Context context;
    context.id = args["id"].as<std::string>();
    const std::unique_ptr<IRole> role = makeRole(args, context.faults);
    if (args.count("publish") > 0) {
        std::ifstream file(args["publish"].as<std::string>());
        role->publish(nlohmann::json::parse(file));
    }
    const Server server(Poco::Net::SocketAddress(args["listen"].as<std::string>()), context, *role);
    std::cout << "listening on " << server.address().toString() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    // Exits without closing open streams, to simulate an engine crash.
    std::_Exit(0);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options = makeOptions();
        const cxxopts::ParseResult args = options.parse(argc, argv);
        if (args.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return run(args);
    } catch (const std::exception &e) {
        std::cerr << "magnolia-standin: " << e.what() << "; see --help\n";
        return 2;
    }
}
