// Typed reads of one JSON object.
#include "settings/objectreader.h"

namespace magnolia::settings
{

namespace
{

std::string joinKeys(const std::set<std::string, std::less<>> &keys)
{
    std::string text;
    for (const std::string &key : keys) {
        text += (text.empty() ? "" : ", ") + key;
    }
    return text;
}

std::string rangeText(IntegerRange range)
{
    return "a whole number from " + std::to_string(range.min) + " to " + std::to_string(range.max);
}

} // namespace

std::string childPath(const std::string &path, std::string_view key)
{
    return path.empty() ? std::string(key) : path + "." + std::string(key);
}

std::string elementPath(const std::string &path, std::size_t index)
{
    return path + "[" + std::to_string(index) + "]";
}

ObjectReader::ObjectReader(const nlohmann::json &value, std::string path, std::vector<Problem> &problems)
    : m_path(std::move(path))
    , m_problems(problems)
{
    if (value.is_object()) {
        m_object = &value;
    } else {
        m_problems.push_back({m_path, std::string("must be an object, is ") + value.type_name()});
    }
}

const nlohmann::json *ObjectReader::find(std::string_view key)
{
    m_knownKeys.emplace(key);
    if (m_object == nullptr) {
        return nullptr;
    }
    const auto it = m_object->find(std::string(key));
    return it == m_object->end() ? nullptr : &*it;
}

const nlohmann::json *ObjectReader::require(std::string_view key)
{
    const nlohmann::json *value = find(key);
    if (value == nullptr && m_object != nullptr) {
        addProblem(key, "is missing");
    }
    return value;
}

std::string ObjectReader::requireString(std::string_view key)
{
    const bool isMissing = require(key) == nullptr;
    const auto text = findString(key);
    if (text && text->empty() && !isMissing) {
        addProblem(key, "must not be empty");
    }
    return text.value_or("");
}

std::optional<std::string> ObjectReader::findString(std::string_view key)
{
    const nlohmann::json *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_string()) {
        addProblem(key, std::string("must be a string, is ") + value->type_name());
        return std::nullopt;
    }
    return value->get<std::string>();
}

std::uint64_t ObjectReader::requireInteger(std::string_view key, IntegerRange range)
{
    const nlohmann::json *value = require(key);
    return value == nullptr ? range.min : readInteger(key, *value, range, range.min);
}

std::uint64_t ObjectReader::findInteger(std::string_view key, IntegerRange range, std::uint64_t defaultValue)
{
    const nlohmann::json *value = find(key);
    return value == nullptr ? defaultValue : readInteger(key, *value, range, defaultValue);
}

Milliseconds ObjectReader::findDuration(std::string_view key, IntegerRange range, Milliseconds defaultValue)
{
    return Milliseconds(findInteger(key, range, static_cast<std::uint64_t>(defaultValue.count())));
}

bool ObjectReader::requireBool(std::string_view key)
{
    const nlohmann::json *value = require(key);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_boolean()) {
        addProblem(key, std::string("must be true or false, is ") + value->type_name());
        return false;
    }
    return value->get<bool>();
}

std::vector<std::string> ObjectReader::findStrings(std::string_view key)
{
    std::vector<std::string> texts;
    const nlohmann::json *value = find(key);
    if (value == nullptr) {
        return texts;
    }
    if (!value->is_array()) {
        addProblem(key, std::string("must be an array of strings, is ") + value->type_name());
        return texts;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        const nlohmann::json &element = (*value)[i];
        if (element.is_string()) {
            texts.push_back(element.get<std::string>());
        } else {
            m_problems.push_back(
                {elementPath(path(key), i), std::string("must be a string, is ") + element.type_name()});
        }
    }
    return texts;
}

void ObjectReader::addProblem(std::string_view key, std::string text)
{
    m_problems.push_back({path(key), std::move(text)});
}

std::string ObjectReader::path(std::string_view key) const
{
    return childPath(m_path, key);
}

void ObjectReader::reportUnknownKeys()
{
    if (m_object == nullptr) {
        return;
    }
    for (const auto &[key, value] : m_object->items()) {
        if (!m_knownKeys.contains(key)) {
            addProblem(key, "unknown key; known keys: " + joinKeys(m_knownKeys));
        }
    }
}

std::uint64_t ObjectReader::readInteger(
    std::string_view key, const nlohmann::json &value, IntegerRange range, std::uint64_t defaultValue)
{
    if (!value.is_number_integer()) {
        addProblem(key, "must be " + rangeText(range) + ", is " + value.type_name());
        return defaultValue;
    }
    const bool isNegative = !value.is_number_unsigned() && value.get<std::int64_t>() < 0;
    if (isNegative || value.get<std::uint64_t>() < range.min || value.get<std::uint64_t>() > range.max) {
        addProblem(key, "must be " + rangeText(range) + ", is " + value.dump());
        return defaultValue;
    }
    return value.get<std::uint64_t>();
}

} // namespace magnolia::settings
