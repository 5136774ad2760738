// The result type for functions that can fail: either a value or a typed error. Access to the one
// that is not present is undefined behaviour.
#ifndef BRIARBARROW_CORE_RESULT_HPP
#define BRIARBARROW_CORE_RESULT_HPP

#include <string>

#include <boost/outcome/outcome.hpp>
#include <boost/outcome/result.hpp>

namespace briarbarrow
{

namespace outcome = boost::outcome_v2;

// Either a Value or an Error.
template <typename Value, typename Error>
using result = outcome::unchecked<Value, Error>;

// A human-readable error: what is wrong, and what is expected.
struct text_error
{
    std::string message;
};

} // namespace briarbarrow

#endif
