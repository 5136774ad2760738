// Outcomes are values: a function that can fail returns a result holding either its value or a
// typed error. Reading the wrong side is a broken invariant.
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

// An error meant for a person: what is wrong, and what would be right.
struct text_error
{
    std::string message;
};

} // namespace briarbarrow

#endif
