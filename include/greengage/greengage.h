// Umbrella header for programs that embed an entry instance.
#ifndef GREENGAGE_GREENGAGE_H_
#define GREENGAGE_GREENGAGE_H_

#include "greengage/entry_instance.h"
#include "greengage/protocol/instance_settings.h"
#include "greengage/routed_instance.h"
#include "greengage/state/result.h"
#include "greengage/transport/log.h"

#endif  // GREENGAGE_GREENGAGE_H_
