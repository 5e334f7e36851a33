#!/usr/bin/env bash
# Mutation tests: check that the tests of the guarantees fail when a mechanism is removed. Each mutant is one edit to a
# scratch worktree of HEAD, after which the named test must fail. Takes a few minutes; not part of CI.
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"
install_packages
scratch=$(mktemp -d)
trap 'git worktree remove --force "$scratch/tree" 2>/dev/null; rm -rf "$scratch"' EXIT
git worktree add --quiet --detach "$scratch/tree" HEAD
cd "$scratch/tree"
export CCACHE_BASEDIR="$scratch/tree"
cmake -S . -B build -G Ninja >/dev/null
ninja -C build unit-tests >/dev/null
survivors=0

# mutant NAME FILE PERL-EXPRESSION TEST: applies the edit, builds, and expects the test to fail.
mutant() {
    local name=$1 file=$2 edit=$3
    # Catch2 separates name patterns by commas, so a comma in a test's name is escaped.
    local test=${4//,/\\,}
    perl -0pi -e "$edit" "$file"
    if git diff --quiet; then
        echo "mutant $name: the edit changes nothing"
        survivors=$((survivors + 1))
        return
    fi
    if ! ninja -C build unit-tests >build/mutant.log 2>&1; then
        echo "mutant $name: does not compile"
        survivors=$((survivors + 1))
    elif build/tests/unit-tests -w NoTests "$test" >build/mutant.log 2>&1; then
        echo "mutant $name: SURVIVES \"$test\""
        survivors=$((survivors + 1))
    else
        echo "mutant $name: caught by \"$test\": $(grep -m1 -A1 'FAILED:' build/mutant.log | tail -1 | xargs -0 echo -n | tr -s ' ')"
    fi
    git checkout --quiet .
}

mutant claim-not-awaited src/scheduler/callrunner.cpp 's/call\.awaitedRecord = \*claimed;//' \
    "A claim is in the journal before the call is sent"
mutant claims-forgotten-at-takeover src/programs/programtable.cpp 's/if \(!program\.claim\) \{\s+continue;/if (true) {\n            continue;/' \
    "A call without an outcome is never sent again by a new owner"
mutant lost-answer-is-retried src/scheduler/callrunner.cpp 's/const bool isSafe = call\.isRepeatable \|\| isSurelyNotRun;/const bool isSafe = call.isRepeatable || !isSurelyNotRun;/' \
    "A lost answer of a call that must not be repeated is an unknown outcome, not a retry"
mutant lost-write-is-failure src/journal/shardjournal.cpp 's/(Status::Conflict\) \{\s+m_inFlightWrite->retryAt = now;\s+\} else \{\s+)m_inFlightWrite->retryAt = now \+ m_settings\.retryDelay;/$1loseOwnership(JournalEntry{});/' \
    "A write without an answer is resolved by reading the slot back"
mutant any-history src/programs/programtable.cpp 's/record\.number != program->nextCallNumber\(\) \|\| record\.previous != program->historyDigest/record.number != program->nextCallNumber()/' \
    "A turn that extends another history is refused"
mutant any-order src/programs/programtable.cpp 's/call\.number\.value\(\) == 0 \|\| call\.number > program\.nextCallNumber\(\)/call.number.value() == 0/' \
    "Calls of a program run in order"
mutant takeover-forgets-reservations src/programs/programtable.cpp 's/entry\.program\.spent = entry\.program\.reserved;//' \
    "A budget can't be exceeded, and what a previous owner reserved counts as spent"
mutant older-ticket-installed src/configuration/configuration.cpp 's/it->second\.ticket >= object\.ticket/it->second.ticket == object.ticket/' \
    "Concurrent tickets: accepted ones are kept and no object reverts"
mutant always-not-run src/entry/entrycore.cpp 's/const bool isNotRun = [^;]+;/const bool isNotRun = true;/' \
    "An error says \"not run\" only if no owner can have received the call"
mutant lost-try-forgotten src/scheduler/callrunner.cpp 's/call\.mayHaveRun = call\.mayHaveRun \|\| !isNotRun;//' \
    "A refusal after an attempt that may have run doesn't say \"not run\""
mutant crossed-answers src/entry/entrycore.cpp 's/it == m_pendingRequests\.end\(\) \|\| it->second\.link != link/it == m_pendingRequests.end()/' \
    "A call is sent again to a new owner, and replies from old links are ignored"
mutant leaving-ignored src/policy/dispatcher.cpp 's/endpoint\.info\.isLeaving \|\| !endpoint\.state\.isUsable\(now\) \|\| isBeingProbed/!endpoint.state.isUsable(now) || isBeingProbed/' \
    "A leaving endpoint gets no calls"
mutant stop-without-waiting src/scheduler/shardmanager.cpp 's/if \(!m_isBusy\(shard\.id\(\)\)\)/if (true)/' \
    "A planned stop lets calls finish, then releases the shard"
mutant memory-kept src/scheduler/programmanager.cpp 's/const bool isGone = [^;]+;/const bool isGone = known == nullptr \&\& false;/' \
    "Engine memory is released when a program exceeds its idle limit or is unknown to its owner"
mutant idle-owner-never-looks src/journal/shardjournal.cpp 's/now - m_ownershipCheckedAt >= OwnershipCheckPeriod/false/' \
    "An owner without appends learns that it was deposed"
mutant unread-slot-is-absent src/journal/shardjournal.cpp 's/if \(sequence < m_settings\.ringSize\) \{/if (true) {/' \
    "Repeated takeovers never fill the ring"
mutant foreign-turn-found src/serving/turncache.cpp 's/it\.second->workspace != load\.workspace/false/; s/lastTurn\.workspace != load->workspace/false/' \
    "A turn exists for its own workspace only, cached or stored"
mutant program-shared src/serving/programkey.cpp 's/workspace && !isObject \?/false ?/' \
    "Programs of different workspaces differ, also with the same id, and are as before without workspaces"
mutant removed-key-kept src/serving/routetable.cpp 's/m_workspaces = configuration\.workspaces \?/m_workspaces = m_workspaces.isConfigured() ? m_workspaces : configuration.workspaces ?/' \
    "Keys are replaced with the configuration's version, which never goes back"
mutant key-passed-on platform/headercodec.cpp 's/out\.fields\.remove\(CredentialsField\);//' \
    "The endpoint is told the workspace by the system alone, and never gets the key"

echo "mutants: $survivors survive or don't apply"
[ "$survivors" = 0 ]
