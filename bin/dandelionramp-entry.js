#!/usr/bin/env node
import { runProgram } from "../dist/commands/program.js";

await runProgram("dandelionramp-entry", { strategy: "single", target: "./dist/commands/entry.js" });
