#define BOOST_TEST_MODULE lagoonward
#include <boost/test/unit_test.hpp>
