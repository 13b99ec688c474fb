#include "version/configuration.h"
