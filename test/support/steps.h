// Random interleavings as a RapidCheck state machine: each command performs one numbered step on a simulated world of
// several nodes and then checks its invariants. Shrinking removes the steps that a failure does not need.
#pragma once

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <ostream>

namespace waxwinglug::test {

// The world is checked by its own invariants, not against a model.
struct NoModel { };

// A uniformly distributed number in [0, bound). inRange() alone depends on the test size: with it the last of 13 step
// kinds was 40 times rarer than the first.
inline rc::Gen<int> uniformBelow(int bound) { return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound)); }

// One step of a random sequence. World::step(kind, node, choice) performs it; kinds are below World::stepKindCount and
// nodes below World::nodeCount, and `choice` selects among the variants of a step. World::check() asserts the
// invariants with RC_ASSERT.
template <typename World> struct Step : rc::state::Command<NoModel, World> {
    int kind = *uniformBelow(World::stepKindCount);
    int node = *uniformBelow(World::nodeCount);
    unsigned choice = static_cast<unsigned>(*uniformBelow(1000));

    void run(const NoModel&, World& world) const override
    {
        world.step(this->kind, this->node, this->choice);
        world.check();
    }

    void show(std::ostream& out) const override
    {
        out << "step(" << this->kind << ", " << this->node << ", " << this->choice << ")";
    }
};

// Runs a random sequence of steps on a new world and then World::finish(), which makes the final checks.
template <typename World> void checkSteps()
{
    // Yields 200 steps on average; with the default length of 25, rare combinations did not occur.
    constexpr double lengthFactor = 4;
    World world;
    const auto commands = *rc::gen::scale(
        lengthFactor, rc::state::gen::commands(NoModel {}, rc::state::gen::execOneOfWithArgs<Step<World>>()));
    rc::state::runAll(commands, NoModel {}, world);
    world.finish();
}

} // namespace waxwinglug::test
