// magnolia-load: puts load on one or more targets and prints the measured latencies as JSON.
#include "runner.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <exception>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace
{

using namespace magnolia;
using namespace magnolia::load;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("magnolia-load",
        "Sends streamed completions to targets and prints their latencies as JSON.\n"
        "In open mode latencies are measured from the intended start of each request.\n"
        "\n  magnolia-load --target entry=127.0.0.1:8080+127.0.0.1:8081 --rate 50 --duration-s 30 --crest 5\n"
        "  magnolia-load --mode paired --target direct=127.0.0.1:9000 --target entry=127.0.0.1:8080 --count 200\n");
    auto add = options.add_options();
    add("target", "Target as NAME=ip:port[+ip:port...]; may be repeated", cxxopts::value<std::vector<std::string>>());
    add("mode", "open, streams or paired", cxxopts::value<std::string>()->default_value("open"));
    add("count", "Number of concurrent streams or of paired rounds",
        cxxopts::value<std::uint64_t>()->default_value("100"));
    add("rate", "Mean requests per second outside of peaks", cxxopts::value<double>()->default_value("10"));
    add("duration-s", "Duration of the run in seconds", cxxopts::value<std::int64_t>()->default_value("10"));
    add("crest", "Ratio of the request rate during a peak to the rate outside of peaks",
        cxxopts::value<double>()->default_value("1"));
    add("swing-period-s", "Seconds from the start of a peak to the next",
        cxxopts::value<std::int64_t>()->default_value("20"));
    add("long-share", "Share of prompts over 100,000 tokens", cxxopts::value<double>()->default_value("0.02"));
    add("prompt-tokens", "Length of all prompts; 0 to draw lengths at random",
        cxxopts::value<std::uint64_t>()->default_value("0"));
    add("max-tokens", "Tokens to generate per request", cxxopts::value<std::uint64_t>()->default_value("32"));
    add("organisations", "Number of organisations", cxxopts::value<std::uint64_t>()->default_value("10"));
    add("zipf", "Exponent of the Zipf distribution of requests over organisations",
        cxxopts::value<double>()->default_value("1"));
    add("organisation-prefix", "Prefix of organisation names, followed by a number",
        cxxopts::value<std::string>()->default_value("organisation-"));
    add("model", "Requested model", cxxopts::value<std::string>()->default_value("m-large"));
    add("short-class", "Request class of prompts up to 100,000 tokens",
        cxxopts::value<std::string>()->default_value("counter"));
    add("long-class", "Request class of longer prompts", cxxopts::value<std::string>()->default_value("archive"));
    add("seed", "Random seed of the arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("help", "Print this help");
    return options;
}

Target parseTarget(const std::string &text)
{
    const std::size_t separator = text.find('=');
    if (separator == std::string::npos) {
        throw std::invalid_argument("--target '" + text + "': expected NAME=ip:port[+ip:port...]");
    }
    Target target{text.substr(0, separator), {}};
    std::istringstream addresses(text.substr(separator + 1));
    for (std::string address; std::getline(addresses, address, '+');) {
        target.addresses.push_back(address);
    }
    return target;
}

RunOptions parseRun(const cxxopts::ParseResult &args)
{
    RunOptions options;
    for (const std::string &it : args["target"].as<std::vector<std::string>>()) {
        options.targets.push_back(parseTarget(it));
    }
    options.count = args["count"].as<std::uint64_t>();
    options.seed = args["seed"].as<std::uint64_t>();
    options.maxTokens = args["max-tokens"].as<std::uint64_t>();
    options.model = args["model"].as<std::string>();
    options.shortClass = args["short-class"].as<std::string>();
    options.longClass = args["long-class"].as<std::string>();
    options.organisationPrefix = args["organisation-prefix"].as<std::string>();
    options.arrivals.ratePerSecond = args["rate"].as<double>();
    options.arrivals.duration = Seconds(args["duration-s"].as<std::int64_t>());
    options.arrivals.peakFactor = args["crest"].as<double>();
    options.arrivals.peakPeriod = Seconds(args["swing-period-s"].as<std::int64_t>());
    options.arrivals.longPromptShare = args["long-share"].as<double>();
    options.arrivals.fixedPromptTokens = args["prompt-tokens"].as<std::uint64_t>();
    options.arrivals.organisations = args["organisations"].as<std::uint64_t>();
    options.arrivals.zipfExponent = args["zipf"].as<double>();
    return options;
}

nlohmann::json runMode(const std::string &mode, const RunOptions &options)
{
    if (mode == "open") {
        return runOpenLoop(options);
    }
    if (mode == "streams") {
        return runStreams(options);
    }
    if (mode == "paired") {
        return runPaired(options);
    }
    throw std::invalid_argument("--mode '" + mode + "': expected open, streams or paired");
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
        std::cout << runMode(args["mode"].as<std::string>(), parseRun(args)).dump(2) << "\n";
        return 0;
    } catch (const std::exception &e) {
        std::cerr << "magnolia-load: " << e.what() << "; see --help\n";
        return 2;
    }
}
