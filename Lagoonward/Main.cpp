#include "Lagoonward/Core/ErrorKind.h"

#include <iostream>

int
main()
{
  std::cout << "lagoonward " << LAGOONWARD_VERSION << '\n';
  return 0;
}
