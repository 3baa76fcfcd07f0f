#!/usr/bin/env node
import { runProgram } from "../dist/commands/program.js";

const commands = process.argv[2] === "replay"
    ? { strategy: "explicit", target: "./dist/commands/replay.js", identifier: "commands" }
    : { strategy: "single", target: "./dist/commands/load.js" };
await runProgram("dandelionramp-load", commands);
