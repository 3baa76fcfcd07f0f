#!/usr/bin/env node
import { runQuickstart } from "../dist/commands/quickstart.js";

await runQuickstart();
