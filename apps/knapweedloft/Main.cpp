#include <cstdio>

int main() {
  std::puts("knapweedloft " KNAPWEEDLOFT_VERSION);
  return 0;
}
